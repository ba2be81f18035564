#pragma once

#include "base/timerservice.h"
#include "messageclientsource.h"
#include "messagestream.h"
#include "workerpool.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace RadishSwitch
{

/// How the processes of a fleet talk to one another. The workers outlive servers, clients and streams.
struct TransportSettings {
    /// The secret that all processes of the fleet share; proved at the opening of each stream.
    std::string fleetKey;
    /// The IP number from which connections are made; empty leaves it to the kernel.
    std::string sourceAddress;
    Duration connectTimeout = std::chrono::seconds(1);
    /// A PING goes out this often on each connection.
    Duration pingInterval = std::chrono::milliseconds(500);
    /// A connection on which nothing was heard for so long since a PING is taken as silent and given up.
    Duration pingTimeout = std::chrono::milliseconds(1500);
    /// An HTTP/2 connection runs out of stream ids at 2^31. A client that has come so far opens its further streams on
    /// a new connection, and closes the old one after its last stream.
    std::int32_t maximumStreamId = 1 << 30;
    /// PEM files of this process's certificate and key, and of the authority that signs those of the whole fleet. With
    /// all three, every connection is mutual TLS 1.3; with none, plain TCP.
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
};

/// Accepts the fleet's connections and hands each new stream to the handler of its path.
class Http2MessageServer
{
public:
    using Handler = std::function<void(MessageStreamPointer)>;

    Http2MessageServer(WorkerPool &workers, TransportSettings settings);
    ~Http2MessageServer();

    /// Sets the handler of a path, before `listen`. The handler gets the stream before its first frame.
    void handle(const std::string &path, Handler handler);

    /// Binds and accepts. Port 0 takes a free one. InvalidSettings when it can't be bound.
    absl::Status listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const;

    /// Closes the listener and all connections. A handler that has begun on a worker may still run afterwards.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

class TlsContext;

/// The fleet's clients of this process, one for each address. Where the settings' certificates can't be used, every
/// stream closes with ConnectionLost; a server with the same settings tells why.
class MessageClients : public MessageClientSource
{
public:
    MessageClients(WorkerPool &workers, TransportSettings settings);
    ~MessageClients() override;

    std::shared_ptr<MessageClient> client(const std::string &address) override;

    /// Closes and forgets the client of an address that is gone.
    void forget(const std::string &address);

private:
    WorkerPool &m_workers;
    TransportSettings m_settings;
    absl::StatusOr<std::shared_ptr<TlsContext>> m_tls;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<MessageClient>> m_clients;
};

}
