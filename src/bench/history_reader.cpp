#include "history_p.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace vanillalift::bench {

namespace {

    CallRecord callFromJson(const nlohmann::json& value)
    {
        CallRecord record;
        value.at("call").get_to(record.call);
        value.at("request").get_to(record.request);
        value.at("entry").get_to(record.entry);
        value.at("team").get_to(record.team);
        value.at("service").get_to(record.service);
        value.at("idempotent").get_to(record.idempotent);
        value.at("intended_ns").get_to(record.intendedNs);
        value.at("start_ns").get_to(record.startNs);
        value.at("end_ns").get_to(record.endNs);
        value.at("status").get_to(record.status);
        value.at("outcome").get_to(record.outcome);
        value.at("reason").get_to(record.reason);
        value.at("body_right").get_to(record.isBodyCorrect);
        return record;
    }

    AttemptRecord attemptFromJson(const nlohmann::json& value)
    {
        AttemptRecord record;
        value.at("request").get_to(record.request);
        value.at("attempt").get_to(record.attempt);
        value.at("team").get_to(record.team);
        value.at("method").get_to(record.method);
        value.at("start_ns").get_to(record.startNs);
        value.at("end_ns").get_to(record.endNs);
        value.at("finished").get_to(record.isFinished);
        value.at("instance").get_to(record.instance);
        value.at("service").get_to(record.service);
        return record;
    }

    /// Indexes in History::attempts of the attempts of one endpoint that have no end line yet, by attempt id.
    using OpenAttempts = std::map<std::string, size_t>;

    void readEndpointLine(const nlohmann::json& value, History& history, OpenAttempts& open)
    {
        auto event = value.value("event", "");
        if (event == "leaving") {
            history.run.leaving.push_back({ value.at("instance").get<std::string>(), value.at("at_ns").get<int64_t>() });
            return;
        }
        auto record = attemptFromJson(value);
        auto it = open.find(record.attempt);
        if (event == "end" && it != open.end()) {
            history.attempts[it->second] = std::move(record);
            open.erase(it);
            return;
        }
        if (event == "start")
            open[record.attempt] = history.attempts.size();
        history.attempts.push_back(std::move(record));
    }

    RunRecord runFromJson(const nlohmann::json& value)
    {
        RunRecord record;
        value.at("limits").get_to(record.limits);
        value.at("shares").get_to(record.shares);
        value.at("leaving_bound_ns").get_to(record.leavingBoundNs);
        value.at("full_from_ns").get_to(record.fullFromNs);
        value.at("full_to_ns").get_to(record.fullToNs);
        for (const auto& it : value.at("leaving"))
            record.leaving.push_back({ it.at("instance").get<std::string>(), it.at("at_ns").get<int64_t>() });
        return record;
    }

    /// @throws HistoryError
    template <typename Accept>
    void readLines(const std::filesystem::path& path, Accept accept)
    {
        std::ifstream file(path);
        if (!file)
            throw HistoryError { path.string(), "cannot be read" };
        std::string line;
        for (size_t n = 1; std::getline(file, line); ++n) {
            auto location = path.string() + ":" + std::to_string(n);
            // getline() reaches the end of the file only if the line has no line feed.
            if (file.eof())
                throw HistoryError { location, "the last line is incomplete" };
            try {
                accept(nlohmann::json::parse(line));
            } catch (const nlohmann::json::exception& ec) {
                throw HistoryError { location, ec.what() };
            }
        }
        if (file.bad())
            throw HistoryError { path.string(), "read error" };
    }

    RunRecord readRun(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        if (!file)
            throw HistoryError { path.string(), "cannot be read" };
        try {
            return runFromJson(nlohmann::json::parse(file));
        } catch (const nlohmann::json::exception& ec) {
            throw HistoryError { path.string(), ec.what() };
        }
    }

    std::vector<std::filesystem::path> endpointFiles(const std::filesystem::path& folder)
    {
        std::vector<std::filesystem::path> files;
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
            auto name = it.path().filename().string();
            if (name.starts_with("endpoint-") && name.ends_with(".jsonl"))
                files.push_back(it.path());
        }
        if (files.empty())
            throw HistoryError { folder.string(), "has no endpoint-*.jsonl file" };
        std::sort(files.begin(), files.end());
        return files;
    }

} // namespace

tl::expected<History, HistoryError> readHistory(const std::string& folder)
{
    std::filesystem::path path(folder);
    History history;
    try {
        history.run = readRun(path / "run.json");
        readLines(path / "calls.jsonl", [&](const nlohmann::json& value) { history.calls.push_back(callFromJson(value)); });
        for (const auto& it : endpointFiles(path)) {
            OpenAttempts open;
            readLines(it, [&](const nlohmann::json& value) { readEndpointLine(value, history, open); });
        }
    } catch (const HistoryError& error) {
        return tl::unexpected(error);
    }
    if (history.calls.empty())
        return tl::unexpected(HistoryError { (path / "calls.jsonl").string(), "contains no calls" });
    return history;
}

} // namespace vanillalift::bench
