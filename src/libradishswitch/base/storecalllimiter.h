#pragma once

#include "base/timerservice.h"

#include <deque>
#include <memory>

namespace RadishSwitch
{

/// The calls to the store that a process may make in a second, shared by all its shards; first come, first served.
///
/// After an outage every shard of every process has something to write. Without a bound that herd would hold the store
/// down; with it the writes trickle out at the rate of ordinary days.
class StoreCallLimiter
{
public:
    StoreCallLimiter(TimerService &timers, double callsPerSecond, double burst);
    ~StoreCallLimiter();

    StoreCallLimiter(const StoreCallLimiter &) = delete;
    StoreCallLimiter &operator=(const StoreCallLimiter &) = delete;

    /// Runs `call` as soon as the budget allows: at once, inside this function, when it does now.
    void acquire(std::function<void()> call);

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
