#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <deque>

namespace RadishSwitch
{

/// Counts what happened within the last span of time, whichever moment it is asked at. A bucket that fills at a steady
/// rate lets twice its size through within one span.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Duration span)
        : m_span(span)
    {
    }

    /// Whether fewer than `limit` happened within the span that ends now.
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
    /// In order.
    std::deque<Instant> m_times;
};

}
