#pragma once

#include "base/timerservice.h"
#include "endpointconnections.h"
#include "serving/crashreport.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace RadishSwitch
{

/// Tells a crashed endpoint from a broken connection and from a silent endpoint. The address of a process that has
/// ended refuses connections at once. One that takes them may be of a later incarnation: if several runs broke off
/// together, the endpoint is asked when it started.
class CrashProbe
{
public:
    /// Gets the incarnation that has ended, and the start of the next one if that serves already.
    using CrashCallback =
        std::function<void(const EndpointIncarnation &ended, std::optional<std::int64_t> nextStartMilliseconds)>;

    /// `onCrashed` is called for each crashed endpoint, before the callbacks given to `probe`.
    CrashProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections, CrashCallback onCrashed);

    /// Calls back with whether the endpoint has crashed. Concurrent requests for the same incarnation share one
    /// connection attempt.
    void probe(const EndpointIncarnation &incarnation, const std::string &address,
               std::function<void(bool hasCrashed)> callback);

private:
    boost::asio::awaitable<void> connect(EndpointIncarnation incarnation, std::string address);
    /// The start of the process at the address, if it is a later incarnation.
    boost::asio::awaitable<std::optional<std::int64_t>> askLaterStart(EndpointIncarnation incarnation,
                                                                      std::string address);

    WorkerPool &m_workers;
    TimerService &m_timers;
    EndpointConnections &m_connections;
    const CrashCallback m_onCrashed;
    absl::flat_hash_map<EndpointIncarnation, std::vector<std::function<void(bool)>>> m_waiters;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
