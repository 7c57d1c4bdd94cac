#include "raft_types_p.h"

#include <nlohmann/json.hpp>

namespace vanillalift::raft {

using nlohmann::json;

namespace {

    json binary(const std::string& data) { return json::binary(std::vector<uint8_t>(data.begin(), data.end())); }

    std::string text(const json& value)
    {
        const auto& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    json membersToJson(const ReplicaMembers& members)
    {
        auto value = json::array();
        for (const auto& it : members)
            value.push_back({ it.name, it.storageId, it.isVoter });
        return value;
    }

    ReplicaMembers membersFromJson(const json& value)
    {
        ReplicaMembers members;
        for (const auto& it : value)
            members.push_back({ it.at(0).get<std::string>(), it.at(1).get<std::string>(), it.at(2).get<bool>() });
        return members;
    }

    json entryToJson(const LogEntry& entry)
    {
        return { entry.index, entry.term, static_cast<int>(entry.kind), binary(entry.data) };
    }

    LogEntry entryFromJson(const json& value)
    {
        auto kind = value.at(2).get<int>();
        if (kind < 0 || kind >= static_cast<int>(EntryKind::EntryKindCount))
            throw std::out_of_range("entry kind");
        return { value.at(0).get<uint64_t>(), value.at(1).get<uint64_t>(), static_cast<EntryKind>(kind), text(value.at(3)) };
    }

    json bodyToJson(const VoteRequest& it) { return { it.isPreVote, it.lastIndex, it.lastTerm, it.addressee }; }
    json bodyToJson(const VoteReply& it) { return { it.isPreVote, it.granted, it.forTerm }; }
    json bodyToJson(const AppendRequest& it)
    {
        auto entries = json::array();
        for (const auto& entry : it.entries)
            entries.push_back(entryToJson(entry));
        return { it.round, it.previousIndex, it.previousTerm, it.commitIndex, std::move(entries) };
    }
    json bodyToJson(const AppendReply& it) { return { it.round, it.matches, it.matchIndex, it.conflictTerm, it.conflictIndex }; }
    json bodyToJson(const SnapshotChunk& it)
    {
        return { it.round, it.index, it.snapshotTerm, membersToJson(it.members), it.offset, binary(it.data), it.isLast };
    }
    json bodyToJson(const SnapshotReply& it) { return { it.round, it.index, it.nextOffset, it.isInstalled }; }
    json bodyToJson(const TimeoutNow& /*it*/) { return json::array(); }

    AppendRequest appendFromJson(const json& v)
    {
        AppendRequest request { v.at(0), v.at(1), v.at(2), v.at(3), {} };
        for (const auto& it : v.at(4))
            request.entries.push_back(entryFromJson(it));
        return request;
    }

    MessageBody bodyFromJson(size_t kind, const json& v)
    {
        switch (kind) {
        case 0:
            return VoteRequest { v.at(0), v.at(1), v.at(2), v.at(3) };
        case 1:
            return VoteReply { v.at(0), v.at(1), v.at(2) };
        case 2:
            return appendFromJson(v);
        case 3:
            return AppendReply { v.at(0), v.at(1), v.at(2), v.at(3), v.at(4) };
        case 4:
            return SnapshotChunk { v.at(0), v.at(1), v.at(2), membersFromJson(v.at(3)), v.at(4), text(v.at(5)), v.at(6) };
        case 5:
            return SnapshotReply { v.at(0), v.at(1), v.at(2), v.at(3) };
        case 6:
            return TimeoutNow {};
        default:
            throw std::out_of_range("message kind");
        }
    }

    std::string toBytes(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
        return bytes;
    }

    /// Decodes with @p read; malformed input gives nothing.
    template <typename Read>
    auto decode(std::string_view bytes, Read read) -> std::optional<decltype(read(json()))>
    {
        try {
            return read(json::from_cbor(bytes.begin(), bytes.end()));
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

} // namespace

std::string encodeMembers(const ReplicaMembers& members) { return toBytes(membersToJson(members)); }

ReplicaMembers decodeMembers(const std::string& bytes)
{
    return decode(bytes, membersFromJson).value_or(ReplicaMembers {});
}

std::string encodeEntry(const LogEntry& entry) { return toBytes(entryToJson(entry)); }

std::optional<LogEntry> decodeEntry(std::string_view bytes) { return decode(bytes, entryFromJson); }

std::string encodeSnapshot(const Snapshot& snapshot)
{
    return toBytes({ snapshot.index, snapshot.term, membersToJson(snapshot.members), binary(*snapshot.data) });
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode(bytes, [](const json& v) {
        return Snapshot { v.at(0), v.at(1), membersFromJson(v.at(2)), std::make_shared<std::string>(text(v.at(3))) };
    });
}

std::string encodeMessages(const std::vector<Message>& messages)
{
    auto value = json::array();
    for (const auto& it : messages) {
        auto body = std::visit([](const auto& body) { return bodyToJson(body); }, it.body);
        value.push_back({ it.from, it.fromStorage, it.to, it.term, it.body.index(), std::move(body) });
    }
    return toBytes(value);
}

std::optional<std::vector<Message>> decodeMessages(std::string_view bytes)
{
    return decode(bytes, [](const json& v) {
        std::vector<Message> messages;
        for (const auto& it : v)
            messages.push_back({ it.at(0), it.at(1), it.at(2), it.at(3), bodyFromJson(it.at(4), it.at(5)) });
        return messages;
    });
}

} // namespace vanillalift::raft
