#pragma once

#include "base/timerservice.h"
#include "endpointconnections.h"
#include "serving/crashreport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace RadishSwitch
{

/// Tells an endpoint that has crashed from a connection that broke, and from one that is silent: the address of a
/// process that has ended refuses connections at once.
class CrashProbe
{
public:
    /// `onCrashed` hears of each endpoint that has crashed, before those who asked.
    CrashProbe(WorkerPool &workers, TimerService &timers, EndpointConnections &connections,
               std::function<void(const EndpointIncarnation &)> onCrashed);

    /// Calls back if the endpoint has crashed, else never. One connection at a time is tried for all who ask.
    void ask(const EndpointIncarnation &life, const std::string &address, std::function<void()> callback);

private:
    boost::asio::awaitable<void> probe(EndpointIncarnation life, std::string address);

    WorkerPool &m_workers;
    TimerService &m_timers;
    EndpointConnections &m_connections;
    const std::function<void(const EndpointIncarnation &)> m_onCrashed;
    absl::flat_hash_map<EndpointIncarnation, std::vector<std::function<void()>>> m_asking;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
