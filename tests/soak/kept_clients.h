#pragma once

#include "net/http_p.h"

#include <vanillalift/clock.h>

#include <map>
#include <memory>
#include <optional>

namespace vanillalift::soak {

/// Clients that send one request after the other over connections of their own, not through proxies, until the process is gone or
/// answers with "Connection: close". Each request on a connection that has carried an answer has to be answered by a process that is
/// only asked to stop.
class KeptClients {
public:
    /// @param stopAskedAt returns when the process was asked to stop, if that is the only reason for which it may not answer.
    /// @param onCut called for the first unanswered request of each such stop.
    KeptClients(net::EventLoop& loop, const Clock& clock, std::function<std::optional<TimePoint>(const std::string& process)> stopAskedAt, std::function<void(const std::string& process)> onCut);

    /// Adds clients that repeat the request.
    void add(const std::string& process, const net::Address& address, const net::HttpRequest& request, size_t count);
    /// Sends the requests that are due.
    void poll();
    /// Until then each answer of the process is followed by the next request without a pause.
    void hurry(const std::string& process, TimePoint until);
    [[nodiscard]] uint64_t answered() const { return m_answered; }
    /// Requests without an answer of processes that were only asked to stop.
    [[nodiscard]] uint64_t cut() const { return m_cut; }

private:
    struct Client {
        std::string process;
        net::HttpRequest request;
        std::unique_ptr<net::HttpChannel> channel;
        TimePoint nextAt;
    };
    void send(Client& client);
    void finish(Client& client, bool isKept, const net::HttpResult& result);

    net::EventLoop& m_loop;
    const Clock& m_clock;
    std::function<std::optional<TimePoint>(const std::string&)> m_stopAskedAt;
    std::function<void(const std::string&)> m_onCut;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::map<std::string, TimePoint> m_hurryUntil;
    /// Last stop of each process that cut a request.
    std::map<std::string, TimePoint> m_cutStops;
    uint64_t m_answered = 0;
    uint64_t m_cut = 0;
};

} // namespace vanillalift::soak
