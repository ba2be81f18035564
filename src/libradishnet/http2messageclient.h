#pragma once

#include "http2connection.h"

#include <mutex>
#include <random>

namespace RadishSwitch
{

/// Opens streams to one other process over one connection at a time.
///
/// A process that can't be reached is not asked again at each stream: after two failures in a row, streams fail at
/// once until a short, growing, jittered pause is over.
class Http2MessageClient : public MessageClient, public std::enable_shared_from_this<Http2MessageClient>
{
public:
    /// `tls` is null for plain TCP. Where it is a failure no connection is made.
    Http2MessageClient(WorkerPool &workers, TransportSettings settings, absl::StatusOr<std::shared_ptr<TlsContext>> tls,
                       std::string address);
    ~Http2MessageClient() override;

    MessageStreamPointer open(const std::string &path, std::string firstFrame) override;
    const std::string &address() const override;
    void close() override;

private:
    using Clock = std::chrono::steady_clock;

    std::shared_ptr<Http2Connection> connection();
    std::shared_ptr<Http2Connection> connect();
    void connectionClosed(bool wasHeard);

    WorkerPool &m_workers;
    const TransportSettings m_settings;
    const absl::StatusOr<std::shared_ptr<TlsContext>> m_tls;
    const std::string m_address;

    /// Guards what follows. No other lock is taken under it.
    std::mutex m_mutex;
    std::shared_ptr<Http2Connection> m_connection;
    int m_failures = 0;
    Clock::time_point m_nextConnect;
    std::minstd_rand m_random;
};

}
