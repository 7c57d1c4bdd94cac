#include "messages_p.h"

#include <glog/logging.h>

namespace vanillalift::node {

namespace {

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
            return msgpack::unpack(m_zone, m_bytes.data(), m_bytes.size(), m_offset, keepReference);
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
            if (!request)
                return std::nullopt;
            return Call { id, std::move(*request) };
        }
        case 4: {
            auto id = reader.next<uint64_t>();
            return CallReply { id, reader.next<Reply>() };
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
