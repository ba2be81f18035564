#pragma once

#include "base/timerservice.h"

#include <deque>
#include <memory>

namespace RadishSwitch
{

/// Limits the rate of calls to the object store that a process makes. All its shards share the limiter; calls run in
/// the order in which they were requested.
///
/// After an outage every shard of every process has something to write. Without a limit all these writes at once would
/// overload the store again; with it they are spread out at the rate of normal operation.
class StoreCallLimiter
{
public:
    StoreCallLimiter(TimerService &timers, double callsPerSecond, double burst);
    ~StoreCallLimiter();

    StoreCallLimiter(const StoreCallLimiter &) = delete;
    StoreCallLimiter &operator=(const StoreCallLimiter &) = delete;

    /// Runs `call` as soon as the rate allows. If that is now, `call` runs inside this function.
    void acquire(std::function<void()> call);

    /// Number of calls that wait for their turn.
    std::size_t waiting() const;

private:
    void refill();
    void schedule();
    void runWaiting();

    TimerService &m_timers;
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    Instant m_refilledAt;
    TimerId m_timer = 0;
    std::deque<std::function<void()>> m_waiting;
};

}
