#include "peer_sender_p.h"

#include <openssl/evp.h>

namespace vanillalift::raft {

namespace {

    constexpr size_t maxQueuedMessages = 16;

} // namespace

nlohmann::json toRpcParams(const std::vector<Message>& messages)
{
    auto bytes = encodeMessages(messages);
    // EVP_EncodeBlock appends a terminating zero.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return { { "messages", std::move(text) } };
}

std::optional<std::vector<Message>> fromRpcParams(const nlohmann::json& params)
{
    auto field = params.is_object() ? params.find("messages") : params.end();
    if (field == params.end() || !field->is_string())
        return std::nullopt;
    const auto& text = field->get_ref<const std::string&>();
    std::string bytes(text.size(), '\0');
    auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts the padding as bytes.
    size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<size_t>(size) - std::min(padding, static_cast<size_t>(size)));
    return decodeMessages(bytes);
}

PeerSender::PeerSender(std::string address, std::string token, Duration callTimeout)
    : m_client(std::move(address), std::move(token))
    , m_callTimeout(callTimeout)
    , m_thread([this] { run(); })
{
}

PeerSender::~PeerSender()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void PeerSender::send(Message message)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_queue.size() >= maxQueuedMessages)
            m_queue.pop_front();
        m_queue.push_back(std::move(message));
    }
    m_wake.notify_one();
}

void PeerSender::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_isStopping)
            return;
        std::vector<Message> batch(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(m_queue.end()));
        m_queue.clear();
        lock.unlock();
        (void)m_client.call(replicaMethod, toRpcParams(batch), BootClock::now() + m_callTimeout);
        lock.lock();
    }
}

} // namespace vanillalift::raft
