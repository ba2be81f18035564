#pragma once

#include "base/timerservice.h"

#include <map>
#include <utility>

/// A timer service with virtual time, which only advances when the test says so. Timers that are due fire in the order
/// of their time, those due at the same time in the order of their creation.
class VirtualTimerService : public RadishSwitch::TimerService
{
public:
    using Duration = RadishSwitch::Duration;
    using Instant = RadishSwitch::Instant;
    using TimerId = RadishSwitch::TimerId;

    Instant now() const override
    {
        return m_now;
    }

    std::int64_t wallClockMilliseconds() const override
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    }

    TimerId after(Duration delay, std::function<void()> callback) override
    {
        return add(delay, Duration::zero(), std::move(callback));
    }

    TimerId every(Duration interval, std::function<void()> callback) override
    {
        return add(interval, interval, std::move(callback));
    }

    void cancel(TimerId id) override
    {
        for (auto it = m_timers.begin(); it != m_timers.end(); ++it) {
            if (it->second.id == id) {
                m_timers.erase(it);
                return;
            }
        }
    }

    /// Advances the time by `span` and fires all timers that become due.
    void advance(Duration span)
    {
        const Instant end = m_now + span;
        while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
            fireNext();
        }
        m_now = end;
    }

    /// Advances the time to the next timer and fires it. Returns false when there is none.
    bool fireNext()
    {
        if (m_timers.empty()) {
            return false;
        }
        auto node = m_timers.extract(m_timers.begin());
        m_now = std::max(m_now, node.key().first);
        Timer timer = std::move(node.mapped());
        if (timer.interval > Duration::zero()) {
            m_timers.emplace(std::pair(m_now + timer.interval, ++m_sequence), timer);
        }
        timer.callback();
        return true;
    }

    std::size_t pending() const
    {
        return m_timers.size();
    }

private:
    struct Timer {
        TimerId id;
        Duration interval;
        std::function<void()> callback;
    };

    TimerId add(Duration delay, Duration interval, std::function<void()> callback)
    {
        const TimerId id = ++m_lastId;
        const Instant due = m_now + std::max(delay, Duration::zero());
        m_timers.emplace(std::pair(due, ++m_sequence), Timer{id, interval, std::move(callback)});
        return id;
    }

    Instant m_now{};
    TimerId m_lastId = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::pair<Instant, std::uint64_t>, Timer> m_timers;
};
