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

/// A process that ends closes its connections and its listener one after the other.
constexpr Duration kSettling = std::chrono::milliseconds(20);
/// A refusal comes back as fast as any packet; a lost one is sent again after a second.
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

void CrashProbe::ask(const EndpointIncarnation &life, const std::string &address, std::function<void()> callback)
{
    std::vector<std::function<void()>> &asking = m_asking[life];
    asking.push_back(std::move(callback));
    if (asking.size() == 1) {
        net::co_spawn(m_workers.context(), probe(life, address), net::detached);
    }
}

net::awaitable<void> CrashProbe::probe(EndpointIncarnation life, std::string address)
{
    const std::weak_ptr<int> alive = m_alive;
    co_await awaitPause(m_timers, kSettling);
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
    const auto node = m_asking.extract(life);
    if (node.empty() || !hasCrashed) {
        co_return;
    }
    m_onCrashed(life);
    for (const std::function<void()> &callback : node.mapped()) {
        callback();
    }
}

}
