#include "crashprobe.h"

#include "asyncresult.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace RadishSwitch
{

namespace net = boost::asio;

namespace
{

/// Wait before the probe: a process that ends closes its connections first and its listening socket a little later.
constexpr Duration kSettleDelay = std::chrono::milliseconds(20);
/// Bounds the connection attempt. A refusal arrives within a round trip; TCP repeats a lost packet after one second.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(1300);

}

CrashProbe::CrashProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections,
                       std::function<void(const EndpointIncarnation &)> onCrashed)
    : m_workers(workers)
    , m_timers(timers)
    , m_connections(connections)
    , m_onCrashed(std::move(onCrashed))
{
}

void CrashProbe::probe(const EndpointIncarnation &incarnation, const std::string &address,
                       std::function<void(bool hasCrashed)> callback)
{
    std::vector<std::function<void(bool)>> &waiters = m_waiters[incarnation];
    waiters.push_back(std::move(callback));
    if (waiters.size() == 1) {
        net::co_spawn(m_workers.context(), connect(incarnation, address), net::detached);
    }
}

net::awaitable<void> CrashProbe::connect(EndpointIncarnation incarnation, std::string address)
{
    const std::weak_ptr<int> alive = m_alive;
    co_await awaitPause(m_timers, kSettleDelay);
    if (alive.expired()) {
        co_return;
    }
    const EndpointConnections::ConnectionPointer connection = m_connections.create(address);
    (void)co_await connection->connect(kProbeTimeout);
    const bool hasCrashed = connection->wasRefused();
    connection->close();
    if (alive.expired()) {
        co_return;
    }
    const auto node = m_waiters.extract(incarnation);
    if (node.empty()) {
        co_return;
    }
    if (hasCrashed) {
        m_onCrashed(incarnation);
    }
    for (const std::function<void(bool)> &callback : node.mapped()) {
        callback(hasCrashed);
    }
}

}
