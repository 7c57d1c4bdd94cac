#include "frame_link_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

namespace vanillalift::net {

namespace {

    constexpr size_t lengthPrefixBytes = sizeof(uint32_t);

    uint32_t readLength(std::string_view bytes)
    {
        uint32_t value = 0;
        for (unsigned n = 0; n < lengthPrefixBytes; n++)
            value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[n])) << (8 * n);
        return value;
    }

} // namespace

FrameLink::FrameLink(EventLoop& loop, const Address& address, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_stream(std::make_unique<Stream>(loop, address, streamHandlers()))
{
}

FrameLink::FrameLink(EventLoop& loop, evutil_socket_t fd, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_stream(std::make_unique<Stream>(loop, fd, streamHandlers()))
{
}

FrameLink::~FrameLink() { *m_isAlive = false; }

Stream::Handlers FrameLink::streamHandlers()
{
    auto onClosed = [this](StreamCloseReason) {
        auto handler = std::move(m_handlers.onClosed);
        if (handler)
            handler();
    };
    return { m_handlers.onConnected, [this](std::string_view bytes) { return receive(bytes); }, onClosed };
}

bool FrameLink::send(std::string_view frame)
{
    if (!m_stream->isConnected() || m_stream->unsentBytes() > config::maxLinkBacklogBytes)
        return false;
    std::string bytes;
    bytes.reserve(lengthPrefixBytes + frame.size());
    for (unsigned n = 0; n < lengthPrefixBytes; n++)
        bytes.push_back(static_cast<char>(frame.size() >> (8 * n) & 0xFFU));
    bytes.append(frame);
    m_sentBytes += bytes.size();
    m_stream->write(bytes);
    return true;
}

size_t FrameLink::receive(std::string_view bytes)
{
    size_t used = 0;
    auto isAlive = m_isAlive;
    while (bytes.size() - used >= lengthPrefixBytes) {
        auto rest = bytes.substr(used);
        auto length = readLength(rest);
        if (length > config::maxFrameBytes) {
            LOG(ERROR) << "frame of " << length << " bytes exceeds the maximum frame size; link closed";
            m_stream->abort();
            auto handler = std::move(m_handlers.onClosed);
            if (handler)
                handler();
            return 0;
        }
        if (rest.size() - lengthPrefixBytes < length)
            break;
        used += lengthPrefixBytes + length;
        m_handlers.onFrame(rest.substr(lengthPrefixBytes, length));
        if (!*isAlive)
            return used;
    }
    return used;
}

} // namespace vanillalift::net
