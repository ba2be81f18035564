#include "http2messageclient.h"

namespace RadishSwitch
{

MessageClients::MessageClients(WorkerPool &workers, TransportSettings settings)
    : m_workers(workers)
    , m_settings(std::move(settings))
    , m_tls(TlsContext::load(m_settings))
{
}

MessageClients::~MessageClients()
{
    for (const auto &[address, client] : m_clients) {
        client->close();
    }
}

std::shared_ptr<MessageClient> MessageClients::client(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<MessageClient> &client = m_clients[address];
    if (!client) {
        client = std::make_shared<Http2MessageClient>(m_workers, m_settings, m_tls, address);
    }
    return client;
}

void MessageClients::forget(const std::string &address)
{
    std::shared_ptr<MessageClient> client;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_clients.find(address);
        if (it == m_clients.end()) {
            return;
        }
        client = std::move(it->second);
        m_clients.erase(it);
    }
    client->close();
}

}
