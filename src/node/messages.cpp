#include "messages_p.h"

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::node {

namespace {

    /// Nesting of containers in a message; the deepest one is a job's steps in a call.
    constexpr size_t maxNesting = 16;

    bool isKnown(const Request& request)
    {
        const auto* fromClient = std::get_if<ClientRequest>(&request);
        return !fromClient || fromClient->verb < ClientVerb::ClientVerbCount;
    }

    bool isKnown(const Reply& reply)
    {
        return reply.status < ReplyStatus::ReplyStatusCount && (!reply.state || *reply.state < JobState::JobStateCount);
    }

    template <typename Variant, size_t candidate = 0>
    std::optional<Variant> unpackAlternative(size_t index, const msgpack::object& object)
    {
        if constexpr (candidate < std::variant_size_v<Variant>) {
            if (index != candidate)
                return unpackAlternative<Variant, candidate + 1>(index, object);
            return object.as<std::variant_alternative_t<candidate, Variant>>();
        } else {
            return std::nullopt;
        }
    }

    struct MessagePacker {
        msgpack::sbuffer& buf;

        template <typename T>
        void operator()(const T& it) const { msgpack::pack(buf, it); }
        void operator()(const Call& it) const
        {
            msgpack::pack(buf, it.id);
            msgpack::pack(buf, static_cast<uint32_t>(it.request.index()));
            std::visit(MessagePacker { buf }, it.request);
        }
        void operator()(const CallReply& it) const
        {
            msgpack::pack(buf, it.id);
            msgpack::pack(buf, it.reply);
        }
    };

    class MessageReader {
    public:
        explicit MessageReader(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        template <typename T>
        T next()
        {
            return unpack().as<T>();
        }
        template <typename Variant>
        std::optional<Variant> nextAlternative(size_t index)
        {
            return unpackAlternative<Variant>(index, unpack());
        }

    private:
        msgpack::object unpack()
        {
            // Keep references into the frame: the conversion to the C++ types makes the only copy of a value.
            auto keepReference = [](msgpack::type::object_type, size_t, void*) { return true; };
            // Each element takes at least a byte, and memory is allocated for as many as a container claims to have.
            auto most = m_bytes.size() - std::min(m_offset, m_bytes.size());
            msgpack::unpack_limit limit(most, most, most, most, most, maxNesting);
            return msgpack::unpack(m_zone, m_bytes.data(), m_bytes.size(), m_offset, keepReference, nullptr, limit);
        }

        std::string_view m_bytes;
        size_t m_offset = 0;
        msgpack::zone m_zone;
    };

} // namespace

std::string encode(const Message& message)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, static_cast<uint32_t>(message.index()));
    std::visit(MessagePacker { buf }, message);
    return { buf.data(), buf.size() };
}

std::optional<Message> decode(std::string_view bytes)
{
    try {
        MessageReader reader(bytes);
        auto messageIndex = reader.next<uint32_t>();
        switch (messageIndex) {
        case 0:
            return reader.next<Hello>();
        case 1:
            return reader.next<ControllerStatus>();
        case 2:
            return reader.next<RaftMessages>();
        case 3: {
            auto id = reader.next<uint64_t>();
            auto requestIndex = reader.next<uint32_t>();
            auto request = reader.nextAlternative<Request>(requestIndex);
            if (!request || !isKnown(*request))
                return std::nullopt;
            return Call { id, std::move(*request) };
        }
        case 4: {
            auto id = reader.next<uint64_t>();
            auto reply = reader.next<Reply>();
            if (!isKnown(reply))
                return std::nullopt;
            return CallReply { id, std::move(reply) };
        }
        default:
            return std::nullopt;
        }
    } catch (const msgpack::type_error& error) {
        LOG_EVERY_N(ERROR, 100) << "malformed message on a link: " << error.what();
    } catch (const msgpack::unpack_error& error) {
        LOG_EVERY_N(ERROR, 100) << "malformed message on a link: " << error.what();
    }
    return std::nullopt;
}

} // namespace vanillalift::node
