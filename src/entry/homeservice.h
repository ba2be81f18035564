#pragma once

#include "homesession.h"
#include "http2transport.h"
#include "monitor.h"
#include "requests/home.h"

#include <memory>

namespace RadishSwitch
{

/// The home's side: serves the requests of this process and, over "/home" streams, those of other entries.
class HomeService
{
public:
    /// `tasks` runs work outside the lock of `monitor`.
    HomeService(Home &home, Monitor &monitor, TimerService &timers, TaskQueue &tasks);

    /// A session for a request that arrived at this very process.
    std::unique_ptr<HomeSession> openLocal();

    std::uint32_t shardOf(const BudgetId &budget);

    /// Where the owner of a budget's keyed requests is, as this home last heard; empty when it never did.
    std::string ownerAddress(const BudgetId &budget);

    /// Serves "/home" streams of other entries.
    void serve(Http2MessageServer &server);

    /// Serves one such stream.
    void serveStream(MessageStreamPointer stream);

private:
    Home &m_home;
    Monitor &m_monitor;
    TimerService &m_timers;
    TaskQueue &m_tasks;
};

}
