#include "http2messageclient.h"

#include <absl/strings/numbers.h>
#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

using boost::asio::ip::tcp;

constexpr int kFailuresBeforePause = 2;
constexpr int kMaximumDoublings = 5;
constexpr std::chrono::milliseconds kFirstPause(25);

/// The endpoint of "address:port" or "[address]:port", by IP numbers.
std::optional<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(host, ec);
    std::uint32_t port = 0;
    if (ec || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 0xffff) {
        return std::nullopt;
    }
    return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

}

Http2MessageClient::Http2MessageClient(WorkerPool &workers, TransportSettings settings,
                                       absl::StatusOr<std::shared_ptr<TlsContext>> tls, std::string address)
    : m_workers(workers)
    , m_settings(std::move(settings))
    , m_tls(std::move(tls))
    , m_address(std::move(address))
    , m_random(std::random_device()())
{
}

Http2MessageClient::~Http2MessageClient()
{
    close();
}

MessageStreamPointer Http2MessageClient::open(const std::string &path, std::string firstFrame)
{
    return connection()->open(path, std::move(firstFrame));
}

const std::string &Http2MessageClient::address() const
{
    return m_address;
}

void Http2MessageClient::close()
{
    const std::lock_guard lock(m_mutex);
    if (m_connection) {
        m_connection->close();
    }
}

/// During a pause this is the connection that failed: it closes each stream at once.
std::shared_ptr<Http2Connection> Http2MessageClient::connection()
{
    const std::lock_guard lock(m_mutex);
    const bool isUsable = m_connection && m_connection->isUsable();
    const bool isPausing = m_connection && m_failures >= kFailuresBeforePause && Clock::now() < m_nextConnect;
    if (!isUsable && !isPausing) {
        m_connection = connect();
    }
    return m_connection;
}

std::shared_ptr<Http2Connection> Http2MessageClient::connect()
{
    const auto onClosed = [weak = weak_from_this()](Http2Connection &connection) {
        if (const auto self = weak.lock()) {
            self->connectionClosed(connection.wasHeard());
        }
    };
    auto connection = std::make_shared<Http2Connection>(m_workers, m_settings, m_tls.value_or(nullptr),
                                                        Http2Connection::Side::Client, onClosed);
    const std::optional<tcp::endpoint> endpoint = parseEndpoint(m_address);
    if (endpoint && m_tls.ok()) {
        connection->connect(*endpoint);
    } else {
        connection->close();
    }
    return connection;
}

/// A connection on which nothing was ever heard counts as a failed one: connecting to a process that hangs succeeds.
void Http2MessageClient::connectionClosed(bool wasHeard)
{
    const std::lock_guard lock(m_mutex);
    if (wasHeard) {
        m_failures = 0;
        return;
    }
    ++m_failures;
    const int doublings = std::clamp(m_failures - kFailuresBeforePause, 0, kMaximumDoublings);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    const auto pause = kFirstPause * (1 << doublings) * jitter(m_random);
    m_nextConnect = Clock::now() + std::chrono::duration_cast<Clock::duration>(pause);
}

}
