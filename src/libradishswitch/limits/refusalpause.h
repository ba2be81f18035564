#pragma once

#include "base/timerservice.h"

#include <algorithm>

namespace RadishSwitch
{

struct RefusalPauseSettings {
    /// After a refusal; doubled by each that follows without a call taken in between.
    Duration first = std::chrono::milliseconds(25);
    Duration longest = std::chrono::seconds(1);

    bool operator==(const RefusalPauseSettings &) const = default;
};

/// How long an endpoint that turned a call away, without saying for how long, is sent nothing.
///
/// Load pattern: some endpoints turn away all that they are sent. A refusal comes at once, so that they have nothing
/// under way and look best of all; they get more calls than those that answer.
class RefusalPause
{
public:
    void noteRefused(const RefusalPauseSettings &settings, Instant now)
    {
        // Calls that were under way together are turned away together.
        if (isActive(now)) {
            return;
        }
        m_span = m_span == Duration::zero() ? settings.first : std::min(2 * m_span, settings.longest);
        m_refusedAt = now;
        m_until = now + m_span;
    }

    /// A call was taken. One that was sent before the refusal says nothing: long answers go on while all that is new is
    /// turned away.
    void noteAccepted(Instant sentAt)
    {
        if (sentAt >= m_refusedAt) {
            m_span = Duration::zero();
            m_until = Instant::min();
        }
    }

    bool isActive(Instant now) const
    {
        return now < m_until;
    }

private:
    Duration m_span{};
    Instant m_refusedAt = Instant::min();
    Instant m_until = Instant::min();
};

}
