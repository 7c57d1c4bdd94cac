#include "raft_types_p.h"

#include <nlohmann/json.hpp>

namespace vanillalift::raft {

using nlohmann::json;

namespace {

    /// Encodes CBOR without an intermediate document: the leader encodes each entry once per replica.
    class CborWriter {
    public:
        void beginArray(size_t size) { writeHead(4, size); }
        void bytes(std::string_view it)
        {
            writeHead(2, it.size());
            m_bytes += it;
        }
        void add(const std::string& it)
        {
            writeHead(3, it.size());
            m_bytes += it;
        }
        void add(uint64_t it) { writeHead(0, it); }
        void add(bool it) { m_bytes.push_back(it ? '\xF5' : '\xF4'); }
        template <typename... Values>
        void addAll(const Values&... values) { (add(values), ...); }
        std::string take() { return std::move(m_bytes); }

    private:
        /// Appends the initial byte (CBOR major type) and the value or size in its shortest encoding.
        void writeHead(unsigned majorType, uint64_t value)
        {
            if (value < 24) {
                m_bytes.push_back(static_cast<char>(majorType << 5U | value));
                return;
            }
            unsigned sizeCode = value <= 0xFFU ? 0 : (value <= 0xFFFFU ? 1 : (value <= 0xFFFFFFFFU ? 2 : 3));
            m_bytes.push_back(static_cast<char>(majorType << 5U | (24 + sizeCode)));
            for (unsigned shift = 8U << sizeCode; shift > 0; shift -= 8)
                m_bytes.push_back(static_cast<char>(value >> (shift - 8) & 0xFFU));
        }

        std::string m_bytes;
    };

    /// Item of a CBOR document. An array is followed by its items and an End item.
    struct Item {
        enum class Kind : uint8_t { Number,
            Flag,
            Text,
            Bytes,
            Array,
            End,
            KindCount };
        Kind kind = Kind::End;
        uint64_t number = 0;
        std::string text;
    };

    /// Collects the items of a document from the events of the SAX parser.
    class ItemCollector final : public nlohmann::json_sax<json> {
    public:
        std::vector<Item> take() { return std::move(m_items); }

        bool null() override { return false; }
        bool boolean(bool it) override { return add({ Item::Kind::Flag, it ? 1U : 0U, {} }); }
        bool number_integer(json::number_integer_t /*it*/) override { return false; }
        bool number_unsigned(json::number_unsigned_t it) override { return add({ Item::Kind::Number, it, {} }); }
        bool number_float(json::number_float_t /*it*/, const json::string_t& /*text*/) override { return false; }
        bool string(json::string_t& it) override { return add({ Item::Kind::Text, 0, std::move(it) }); }
        bool binary(json::binary_t& it) override { return add({ Item::Kind::Bytes, 0, { it.begin(), it.end() } }); }
        bool start_object(size_t /*size*/) override { return false; }
        bool key(json::string_t& /*it*/) override { return false; }
        bool end_object() override { return false; }
        bool start_array(size_t /*size*/) override { return add({ Item::Kind::Array, 0, {} }); }
        bool end_array() override { return add({ Item::Kind::End, 0, {} }); }
        bool parse_error(size_t /*at*/, const std::string& /*token*/, const json::exception& /*error*/) override { return false; }

    private:
        bool add(Item it)
        {
            m_items.push_back(std::move(it));
            return true;
        }

        std::vector<Item> m_items;
    };

    /// Reads items in order. Throws std::out_of_range on an unexpected kind of item.
    class CborReader {
    public:
        explicit CborReader(std::vector<Item> items)
            : m_items(std::move(items))
        {
        }

        uint64_t number() { return next(Item::Kind::Number).number; }
        bool flag() { return next(Item::Kind::Flag).number != 0; }
        std::string text() { return std::move(next(Item::Kind::Text).text); }
        std::string bytes() { return std::move(next(Item::Kind::Bytes).text); }
        void enterArray() { next(Item::Kind::Array); }
        [[nodiscard]] bool isAtEnd() const { return m_items.at(m_next).kind == Item::Kind::End; }
        /// Skips to the end of the array, including trailing items written by a newer version.
        void leaveArray()
        {
            for (size_t depth = 1; depth > 0; m_next++) {
                auto kind = m_items.at(m_next).kind;
                depth += kind == Item::Kind::Array ? 1 : 0;
                depth -= kind == Item::Kind::End ? 1 : 0;
            }
        }

    private:
        Item& next(Item::Kind kind)
        {
            auto& it = m_items.at(m_next++);
            if (it.kind != kind)
                throw std::out_of_range("item kind");
            return it;
        }

        std::vector<Item> m_items;
        size_t m_next = 0;
    };

    /// Decodes with @p read.
    /// @returns std::nullopt if the input is malformed.
    template <typename Read>
    auto decode(std::string_view bytes, Read read) -> std::optional<decltype(read(std::declval<CborReader&>()))>
    {
        ItemCollector items;
        if (!json::sax_parse(bytes, &items, json::input_format_t::cbor))
            return std::nullopt;
        try {
            CborReader reader(items.take());
            return read(reader);
        } catch (const std::out_of_range&) {
            return std::nullopt;
        }
    }

    /// Reads all items of an array with @p read.
    template <typename Read>
    auto readAll(CborReader& reader, Read read)
    {
        std::vector<decltype(read(reader))> list;
        reader.enterArray();
        while (!reader.isAtEnd())
            list.push_back(read(reader));
        reader.leaveArray();
        return list;
    }

    void write(CborWriter& writer, const ReplicaMembers& members)
    {
        writer.beginArray(members.size());
        for (const auto& it : members) {
            writer.beginArray(3);
            writer.addAll(it.name, it.storageId, it.isVoter);
        }
    }

    ReplicaMembers readMembers(CborReader& reader)
    {
        return readAll(reader, [](CborReader& r) {
            r.enterArray();
            ReplicaMember member { r.text(), r.text(), r.flag() };
            r.leaveArray();
            return member;
        });
    }

    void write(CborWriter& writer, const LogEntry& entry)
    {
        writer.beginArray(4);
        writer.addAll(entry.index, entry.term, static_cast<uint64_t>(entry.kind));
        writer.bytes(entry.data);
    }

    LogEntry readEntry(CborReader& reader)
    {
        reader.enterArray();
        auto index = reader.number();
        auto term = reader.number();
        auto kind = reader.number();
        if (kind >= static_cast<uint64_t>(EntryKind::EntryKindCount))
            throw std::out_of_range("entry kind");
        LogEntry entry { index, term, static_cast<EntryKind>(kind), reader.bytes() };
        reader.leaveArray();
        return entry;
    }

    void write(CborWriter& writer, const VoteRequest& it)
    {
        writer.beginArray(4);
        writer.addAll(it.isPreVote, it.lastIndex, it.lastTerm, it.recipientStorageId);
    }
    void write(CborWriter& writer, const VoteReply& it)
    {
        writer.beginArray(3);
        writer.addAll(it.isPreVote, it.granted, it.requestTerm);
    }
    void write(CborWriter& writer, const AppendRequest& it)
    {
        writer.beginArray(5);
        writer.addAll(it.sequence, it.previousIndex, it.previousTerm, it.commitIndex);
        writer.beginArray(it.entries.size());
        for (const auto& entry : it.entries)
            write(writer, entry);
    }
    void write(CborWriter& writer, const AppendReply& it)
    {
        writer.beginArray(5);
        writer.addAll(it.sequence, it.success, it.matchIndex, it.conflictTerm, it.conflictIndex);
    }
    void write(CborWriter& writer, const SnapshotChunk& it)
    {
        writer.beginArray(7);
        writer.addAll(it.sequence, it.index, it.snapshotTerm);
        write(writer, it.members);
        writer.add(it.offset);
        writer.bytes(it.data);
        writer.add(it.isLast);
    }
    void write(CborWriter& writer, const SnapshotReply& it)
    {
        writer.beginArray(4);
        writer.addAll(it.sequence, it.index, it.nextOffset, it.isInstalled);
    }
    void write(CborWriter& writer, const TimeoutNow& /*it*/) { writer.beginArray(0); }

    MessageBody readBody(CborReader& r, uint64_t kind)
    {
        switch (kind) {
        case 0:
            return VoteRequest { r.flag(), r.number(), r.number(), r.text() };
        case 1:
            return VoteReply { r.flag(), r.flag(), r.number() };
        case 2:
            return AppendRequest { r.number(), r.number(), r.number(), r.number(), readAll(r, readEntry) };
        case 3:
            return AppendReply { r.number(), r.flag(), r.number(), r.number(), r.number() };
        case 4:
            return SnapshotChunk { r.number(), r.number(), r.number(), readMembers(r), r.number(), r.bytes(), r.flag() };
        case 5:
            return SnapshotReply { r.number(), r.number(), r.number(), r.flag() };
        case 6:
            return TimeoutNow {};
        default:
            throw std::out_of_range("message kind");
        }
    }

    Message readMessage(CborReader& reader)
    {
        reader.enterArray();
        Message message { reader.text(), reader.text(), reader.text(), reader.number(), {} };
        auto kind = reader.number();
        reader.enterArray();
        message.body = readBody(reader, kind);
        reader.leaveArray();
        reader.leaveArray();
        return message;
    }

} // namespace

std::string encodeMembers(const ReplicaMembers& members)
{
    CborWriter writer;
    write(writer, members);
    return writer.take();
}

ReplicaMembers decodeMembers(const std::string& bytes) { return decode(bytes, readMembers).value_or(ReplicaMembers {}); }

std::string encodeEntry(const LogEntry& entry)
{
    CborWriter writer;
    write(writer, entry);
    return writer.take();
}

std::optional<LogEntry> decodeEntry(std::string_view bytes) { return decode(bytes, readEntry); }

std::string encodeSnapshot(const Snapshot& snapshot)
{
    CborWriter writer;
    writer.beginArray(4);
    writer.addAll(snapshot.index, snapshot.term);
    write(writer, snapshot.members);
    writer.bytes(*snapshot.data);
    return writer.take();
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode(bytes, [](CborReader& r) {
        r.enterArray();
        Snapshot snapshot { r.number(), r.number(), readMembers(r), std::make_shared<std::string>(r.bytes()) };
        r.leaveArray();
        return snapshot;
    });
}

std::string encodeMessages(const std::vector<Message>& messages)
{
    CborWriter writer;
    writer.beginArray(messages.size());
    for (const auto& it : messages) {
        writer.beginArray(6);
        writer.addAll(it.from, it.fromStorageId, it.to, it.term, static_cast<uint64_t>(it.body.index()));
        std::visit([&](const auto& body) { write(writer, body); }, it.body);
    }
    return writer.take();
}

std::optional<std::vector<Message>> decodeMessages(std::string_view bytes)
{
    return decode(bytes, [](CborReader& reader) { return readAll(reader, readMessage); });
}

} // namespace vanillalift::raft
