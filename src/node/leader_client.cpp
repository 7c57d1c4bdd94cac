#include "leader_client_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

namespace vanillalift::node {

LeaderClient::LeaderClient(net::EventLoop& loop, const Clock& clock, EventLog& log, Desc desc)
    : m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_desc(std::move(desc))
    , m_leaderLostAt(clock.now())
    , m_timer(loop, [this] { tick(); })
{
    addSeeds(m_desc.seeds);
    m_timer.armAt(clock.now(), clock.now());
}

LeaderClient::~LeaderClient() { *m_isAlive = false; }

void LeaderClient::addSeeds(const std::vector<std::string>& seeds)
{
    for (const auto& it : seeds)
        maintainLink(it);
}

void LeaderClient::maintainLink(const std::string& name)
{
    if (!name.empty() && name != m_desc.hello.name)
        m_peers[name].shouldConnect = true;
}

void LeaderClient::setLocalLeader(bool isLeader, uint64_t term)
{
    m_isLocalLeader = isLeader;
    if (isLeader) {
        m_leader = m_desc.hello.name;
        m_leaderTerm = term;
        sendPendingCalls();
    } else if (m_leader == m_desc.hello.name) {
        clearLeader();
    }
}

void LeaderClient::clearLeader()
{
    m_leader.clear();
    m_leaderLostAt = m_clock.now();
    updateLeader();
}

void LeaderClient::call(Request request, TimePoint sendDeadline, TimePoint deadline, Handler handler)
{
    if (m_isClosed)
        return handler({ std::nullopt, false });
    auto id = ++m_lastCallId;
    auto& pending = m_calls[id] = { std::move(request), sendDeadline, deadline, std::move(handler), "", 0, 0 };
    if (hasLeader())
        return sendCall(id, pending);
    pending.sendDeadline = std::min<TimePoint>(sendDeadline, m_leaderLostAt + config::leaderWaitTimeout);
    if (pending.sendDeadline <= m_clock.now())
        completeCall(id, { std::nullopt, false });
}

void LeaderClient::close()
{
    m_isClosed = true;
    while (!m_calls.empty())
        completeCall(m_calls.begin()->first, { std::nullopt, m_calls.begin()->second.openSends > 0 });
}

bool LeaderClient::send(const std::string& name, const Message& message)
{
    auto it = m_peers.find(name);
    if (it == m_peers.end() || !it->second.link || !it->second.link->isConnected())
        return false;
    return it->second.link->send(encode(message));
}

bool LeaderClient::isLinked(const std::string& name) const
{
    auto it = m_peers.find(name);
    return it != m_peers.end() && it->second.link && it->second.link->isConnected() && it->second.status.term != 0;
}

bool LeaderClient::isStaying(const std::string& name) const { return isLinked(name) && !m_peers.at(name).status.isStopping; }

void LeaderClient::tick()
{
    auto now = m_clock.now();
    m_closedLinks.clear();
    readOverdueLinks(now);
    std::vector<std::string> timedOut;
    for (auto& [name, peer] : m_peers) {
        if (!peer.link && peer.shouldConnect && now >= peer.retryAt)
            connect(name, peer);
        else if (peer.link && now - peer.lastContactAt > config::linkTimeout)
            timedOut.push_back(name);
    }
    for (const auto& it : timedOut)
        closeLink(it, "silent");
    std::vector<std::pair<uint64_t, bool>> expired;
    for (const auto& [id, call] : m_calls) {
        bool wasSent = call.openSends > 0;
        if (now >= call.deadline || (!wasSent && now >= call.sendDeadline))
            expired.emplace_back(id, wasSent);
    }
    for (const auto& [id, wasSent] : expired)
        completeCall(id, { std::nullopt, wasSent });
    m_timer.armAt(now + tickInterval, now);
}

void LeaderClient::readOverdueLinks(TimePoint now)
{
    std::set<std::string> overdue;
    for (const auto& [name, peer] : m_peers) {
        if (peer.link && now - peer.lastContactAt > config::linkTimeout)
            overdue.insert(name);
    }
    for (const auto& [id, call] : m_calls) {
        if (now >= call.deadline)
            overdue.insert(call.sentTo);
    }
    for (const auto& name : overdue) {
        auto it = m_peers.find(name);
        if (it != m_peers.end() && it->second.link)
            it->second.link->readPendingInput();
    }
}

void LeaderClient::connect(const std::string& name, Peer& peer)
{
    auto now = m_clock.now();
    peer.lastContactAt = now;
    peer.retryAt = now + config::linkRetryDelay;
    auto address = net::parseAddress(name);
    if (!address)
        return;
    net::FrameLink::Handlers handlers;
    handlers.onConnected = [this, name] {
        m_peers[name].lastContactAt = m_clock.now();
        send(name, m_desc.hello);
    };
    handlers.onFrame = [this, name](std::string_view frame) { receive(name, frame); };
    handlers.onClosed = [this, name] { closeLink(name, "closed"); };
    peer.link = std::make_unique<net::FrameLink>(m_loop, *address, std::move(handlers));
}

void LeaderClient::closeLink(const std::string& name, const char* reason)
{
    auto it = m_peers.find(name);
    if (it == m_peers.end() || !it->second.link)
        return;
    auto& peer = it->second;
    if (peer.link->isConnected() && peer.status.term != 0)
        m_log.stateLine("link-lost").field("peer", name).field("reason", std::string_view(reason));
    m_closedLinks.push_back(std::move(peer.link));
    m_closedLinks.back()->abort();
    peer.status = {};
    peer.retryAt = m_clock.now() + config::linkRetryDelay;
    for (auto& [id, call] : m_calls) {
        if (call.sentTo == name)
            call.sentTo.clear();
    }
    if (m_leader == name)
        clearLeader();
}

void LeaderClient::receive(const std::string& name, std::string_view frame)
{
    auto message = decode(frame);
    if (!message)
        return;
    m_peers[name].lastContactAt = m_clock.now();
    if (const auto* status = std::get_if<ControllerStatus>(&*message))
        receiveStatus(name, *status);
    else if (const auto* reply = std::get_if<CallReply>(&*message))
        receiveReply(name, *reply);
}

void LeaderClient::receiveStatus(const std::string& name, const ControllerStatus& status)
{
    if (m_peers[name].status.term == 0)
        m_log.stateLine("link-up").field("peer", name).field("term", status.term).field("leader", status.leader);
    m_peers[name].status = status;
    for (const auto& it : status.members)
        maintainLink(it);
    updateLeader();
}

void LeaderClient::updateLeader()
{
    if (m_isLocalLeader)
        return;
    std::string newLeader;
    uint64_t term = 0;
    for (const auto& [name, peer] : m_peers) {
        if (peer.link && peer.status.isLeader && peer.status.term > term) {
            newLeader = name;
            term = peer.status.term;
        }
    }
    if (newLeader == m_leader && (newLeader.empty() || term == m_leaderTerm)) {
        if (!newLeader.empty())
            sendPendingCalls();
        return;
    }
    if (newLeader.empty())
        m_leaderLostAt = m_clock.now();
    m_log.stateLine("leader").field("leader", newLeader).field("term", term).field("was", m_leader);
    m_leader = newLeader;
    m_leaderTerm = term;
    if (!newLeader.empty())
        sendPendingCalls();
}

void LeaderClient::sendPendingCalls()
{
    std::vector<uint64_t> unsentIds;
    for (const auto& [id, call] : m_calls) {
        // An earlier leader may never reply, nor one that leads again in a later term, so that their requests are sent again; all
        // requests are idempotent.
        if (call.sentTo != m_leader || call.sentInTerm != m_leaderTerm)
            unsentIds.push_back(id);
    }
    for (auto id : unsentIds) {
        auto it = m_calls.find(id);
        if (it != m_calls.end())
            sendCall(id, it->second);
    }
}

void LeaderClient::sendCall(uint64_t id, PendingCall& call)
{
    if (m_isLocalLeader) {
        call.openSends++;
        call.sentTo = m_leader;
        call.sentInTerm = m_leaderTerm;
        m_desc.localHandler(call.request, [this, id, isAlive = m_isAlive](const Reply& reply) {
            if (*isAlive)
                receiveReply(m_desc.hello.name, { id, reply });
        });
        return;
    }
    if (send(m_leader, Call { id, call.request })) {
        call.sentTo = m_leader;
        call.sentInTerm = m_leaderTerm;
        call.openSends++;
    }
}

void LeaderClient::receiveReply(const std::string& name, const CallReply& callReply)
{
    auto it = m_calls.find(callReply.id);
    if (it == m_calls.end())
        return;
    if (callReply.reply.status == ReplyStatus::NotLeader) {
        // Sent again as soon as a controller reports that it is the leader.
        if (it->second.sentTo == name)
            it->second.sentTo.clear();
        if (callReply.reply.isUnhandled && it->second.openSends > 0)
            it->second.openSends--;
        return;
    }
    completeCall(callReply.id, { callReply.reply, true });
}

void LeaderClient::completeCall(uint64_t id, Outcome outcome)
{
    auto call = m_calls.extract(id);
    if (!call.empty())
        call.mapped().handler(std::move(outcome));
}

} // namespace vanillalift::node
