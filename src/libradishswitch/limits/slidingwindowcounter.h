#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <deque>

namespace RadishSwitch
{

/// Counts events within a sliding window of time. A token bucket refilled at a steady rate would let up to twice its
/// size through within one window.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Duration span)
        : m_span(span)
    {
    }

    /// Whether fewer than `limit` events happened within the window that ends now.
    bool isBelow(std::size_t limit, Instant now) const
    {
        return limit > 0 && (m_times.size() < limit || now - m_times[m_times.size() - limit] >= m_span);
    }

    void note(Instant now)
    {
        while (!m_times.empty() && now - m_times.front() >= m_span) {
            m_times.pop_front();
        }
        m_times.push_back(now);
    }

private:
    const Duration m_span;
    /// Times of the events, in ascending order.
    std::deque<Instant> m_times;
};

}
