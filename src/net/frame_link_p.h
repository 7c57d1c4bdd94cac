#pragma once

#include "stream_p.h"

#include <string>
#include <string_view>

namespace vanillalift::net {

/// A connection between two of the system's processes that carries frames: a 32-bit little-endian length, followed by
/// that many bytes of payload.
class FrameLink {
public:
    struct Handlers {
        std::function<void()> onConnected;
        std::function<void(std::string_view)> onFrame;
        /// Called once, when the connection has closed. The handler may destroy the link.
        std::function<void()> onClosed;
    };

    FrameLink(EventLoop& loop, const Address& address, Handlers handlers);
    FrameLink(EventLoop& loop, evutil_socket_t fd, Handlers handlers);
    ~FrameLink();

    /// @returns false, without writing anything, if the link is not connected or its send buffer exceeds the limit.
    bool send(std::string_view frame);
    /// Delivers the frames that have arrived, see Stream::readPendingInput(). The handlers may destroy the link.
    void readPendingInput() { m_stream->readPendingInput(); }
    /// Closes the link at once, without calling onClosed.
    void abort() { m_stream->abort(); }
    [[nodiscard]] bool isConnected() const { return m_stream->isConnected(); }
    [[nodiscard]] uint64_t sentBytes() const { return m_sentBytes; }

private:
    Stream::Handlers streamHandlers();
    size_t receive(std::string_view bytes);

    Handlers m_handlers;
    uint64_t m_sentBytes = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::unique_ptr<Stream> m_stream;
};

} // namespace vanillalift::net
