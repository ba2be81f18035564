#pragma once

#include "base/timerservice.h"

#include <cstddef>
#include <deque>

namespace RadishSwitch
{

/// Counts what happened within the last span of time, whichever moment it is asked at. A bucket that fills at a steady
/// rate lets twice its size through within one span.
class SlidingCount
{
public:
    explicit SlidingCount(Duration span)
        : m_span(span)
    {
    }

    /// Whether fewer than `most` happened within the span that ends now.
    bool isBelow(std::size_t most, Instant now) const
    {
        return most > 0 && (m_moments.size() < most || now - m_moments[m_moments.size() - most] >= m_span);
    }

    void note(Instant now)
    {
        while (!m_moments.empty() && now - m_moments.front() >= m_span) {
            m_moments.pop_front();
        }
        m_moments.push_back(now);
    }

private:
    const Duration m_span;
    /// In order.
    std::deque<Instant> m_moments;
};

}
