#include "crashprobe.h"

#include "asyncresult.h"
#include "endpointreportreader.h"

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
/// Runs that break off together; fewer may be cut by a fault of their own. An endpoint that is asked pays for it.
constexpr std::size_t kRunsBrokenTogether = 2;
constexpr Duration kReportTimeout = std::chrono::milliseconds(500);

}

CrashProbe::CrashProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections,
                       CrashCallback onCrashed)
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
    const bool isRefused = connection->wasRefused();
    connection->close();
    if (alive.expired()) {
        co_return;
    }
    std::optional<std::int64_t> nextStart;
    if (!isRefused && m_waiters[incarnation].size() >= kRunsBrokenTogether) {
        nextStart = co_await askLaterStart(incarnation, address);
    }
    if (alive.expired()) {
        co_return;
    }
    const bool hasCrashed = isRefused || nextStart;
    const auto node = m_waiters.extract(incarnation);
    if (node.empty()) {
        co_return;
    }
    if (hasCrashed) {
        m_onCrashed(incarnation, nextStart);
    }
    for (const std::function<void(bool)> &callback : node.mapped()) {
        callback(hasCrashed);
    }
}

net::awaitable<std::optional<std::int64_t>> CrashProbe::askLaterStart(EndpointIncarnation incarnation,
                                                                      std::string address)
{
    const std::unique_ptr<EndpointReportReader> reader = makeEndpointReportReader(m_workers, std::move(address));
    const auto start = [&reader](auto done) {
        reader->read(kReportTimeout, std::move(done));
    };
    const absl::StatusOr<EndpointReport> report = co_await awaitCallback<absl::StatusOr<EndpointReport>>(start);
    const bool isLater = report.ok() && incarnation.startedAtMilliseconds > 0
        && report->startedAtMilliseconds > incarnation.startedAtMilliseconds;
    co_return isLater ? std::optional(report->startedAtMilliseconds) : std::nullopt;
}

}
