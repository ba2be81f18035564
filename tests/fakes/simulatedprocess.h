#pragma once

#include "virtualtimerservice.h"

#include <memory>
#include <utility>
#include <vector>

/// One life of a simulated process: its timers fire only while it is alive and not frozen. What is due while it is
/// frozen happens when it wakes.
class SimulatedProcess : public RadishSwitch::TimerService, public std::enable_shared_from_this<SimulatedProcess>
{
public:
    using Duration = RadishSwitch::Duration;
    using Instant = RadishSwitch::Instant;
    using TimerId = RadishSwitch::TimerId;

    explicit SimulatedProcess(VirtualTimerService &clock)
        : m_clock(clock)
        , m_startedAt(clock.now())
    {
    }

    Instant startedAt() const
    {
        return m_startedAt;
    }

    bool isFrozen() const
    {
        return m_isFrozen;
    }

    void freeze()
    {
        m_isFrozen = true;
    }

    void wake()
    {
        m_isFrozen = false;
        for (const std::function<void()> &work : std::exchange(m_deferred, {})) {
            work();
        }
    }

    /// Runs it now, or when the process wakes.
    void run(std::function<void()> work)
    {
        m_isFrozen ? m_deferred.push_back(std::move(work)) : work();
    }

    Instant now() const override
    {
        return m_clock.now();
    }

    std::int64_t wallClockMilliseconds() const override
    {
        return m_clock.wallClockMilliseconds();
    }

    TimerId after(Duration delay, std::function<void()> callback) override
    {
        return m_clock.after(delay, whileAlive(std::move(callback)));
    }

    TimerId every(Duration interval, std::function<void()> callback) override
    {
        return m_clock.every(interval, whileAlive(std::move(callback)));
    }

    void cancel(TimerId id) override
    {
        m_clock.cancel(id);
    }

private:
    std::function<void()> whileAlive(std::function<void()> callback)
    {
        return [weak = weak_from_this(), callback = std::move(callback)] {
            if (const std::shared_ptr<SimulatedProcess> process = weak.lock()) {
                process->run(callback);
            }
        };
    }

    VirtualTimerService &m_clock;
    const Instant m_startedAt;
    bool m_isFrozen = false;
    std::vector<std::function<void()>> m_deferred;
};
