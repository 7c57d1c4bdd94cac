#pragma once

#include "replica/disk_p.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>

namespace vanillalift::raft {

struct SimulatedCrash { };

/// Files in memory, with the durable size of each. From operation number @c firstFaultyOperation on,
/// @c faultyOperationCount operations fail with @c injectedError, or the first one crashes midway.
class MemoryDisk final : public Disk {
public:
    struct File {
        std::string bytes;
        size_t durableSize = 0;
    };

    std::map<std::string, File> files;
    std::map<std::string, File> filesSetAside;
    SetAsideState setAsideProgress = SetAsideState::Never;
    size_t operationCount = 0;
    size_t firstFaultyOperation = SIZE_MAX;
    size_t faultyOperationCount = 1;
    /// If unset, the operation crashes.
    std::optional<StorageErrorCode> injectedError;
    std::mt19937_64 random { 1 };

    /// Drops the unsynced bytes, except for a random prefix, in which a random range may be zeroed as if never written.
    void simulatePowerLoss()
    {
        for (auto& [name, it] : files) {
            it.bytes.resize(it.durableSize + randomBelow(it.bytes.size() - it.durableSize + 1));
            auto unsynced = it.bytes.size() - it.durableSize;
            if (unsynced > 0 && randomBelow(2) == 0) {
                auto begin = randomBelow(unsynced);
                auto size = 1 + randomBelow(unsynced - begin);
                it.bytes.replace(it.durableSize + begin, size, size, '\0');
            }
            it.durableSize = it.bytes.size();
        }
        firstFaultyOperation = SIZE_MAX;
    }

    StorageResult<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto& [name, it] : files)
            names.push_back(name);
        return names;
    }

    StorageResult<std::string> read(const std::string& name) override { return files.at(name).bytes; }

    StorageResult<void> append(const std::string& name, std::string_view bytes) override
    {
        return mutate([&] { files.at(name).bytes += bytes; }, [&] { files.at(name).bytes += bytes.substr(0, randomBelow(bytes.size() + 1)); });
    }

    StorageResult<void> sync(const std::string& name) override
    {
        return mutate([&] { files.at(name).durableSize = files.at(name).bytes.size(); }, [] {});
    }

    StorageResult<void> replace(const std::string& name, std::string_view bytes) override
    {
        auto replaceFile = [&] { files[name] = { std::string(bytes), bytes.size() }; };
        return mutate(replaceFile, [&] {
            if (randomBelow(2) == 0)
                replaceFile();
        });
    }

    StorageResult<void> truncate(const std::string& name, uint64_t size) override
    {
        auto truncateFile = [&] { files[name] = { files[name].bytes.substr(0, size), size }; };
        return mutate(truncateFile, [] {});
    }

    StorageResult<void> remove(const std::string& name) override
    {
        return mutate([&] { files.erase(name); }, [] {});
    }

    StorageResult<SetAsideState> setAsideState() override { return setAsideProgress; }

    StorageResult<void> setAside(const std::vector<std::string>& names) override
    {
        auto move = [this](const std::string& name) { filesSetAside.insert(files.extract(name)); };
        auto begin = [this] {
            if (std::exchange(setAsideProgress, SetAsideState::Interrupted) != SetAsideState::Interrupted)
                filesSetAside.clear();
        };
        auto moveAll = [&] {
            begin();
            std::for_each(names.begin(), names.end(), move);
            setAsideProgress = SetAsideState::Done;
        };
        return mutate(moveAll, [&] {
            begin();
            std::for_each(names.begin(), names.end(), [&](const auto& it) {
                if (randomBelow(2) == 0)
                    move(it);
            });
        });
    }

private:
    size_t randomBelow(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); }

    StorageResult<void> mutate(const std::function<void()>& applyFully, const std::function<void()>& applyPartially)
    {
        auto operation = operationCount++;
        if (operation < firstFaultyOperation || operation - firstFaultyOperation >= faultyOperationCount) {
            applyFully();
            return {};
        }
        applyPartially();
        if (!injectedError)
            throw SimulatedCrash();
        return tl::unexpected(StorageError { *injectedError, "file", "injected" });
    }
};

} // namespace vanillalift::raft
