#pragma once

#include "base/timerservice.h"

#include <algorithm>

namespace RadishSwitch
{

struct RefusalPauseSettings {
    /// The pause after a first refusal. It doubles with each further refusal, up to `longest`, until the endpoint
    /// accepts a call.
    Duration first = std::chrono::milliseconds(25);
    Duration longest = std::chrono::seconds(1);

    bool operator==(const RefusalPauseSettings &) const = default;
};

/// How long this process sends no calls to an endpoint that refused one without giving a retry-after time.
///
/// Load pattern: some endpoints refuse every call. A refusal comes at once, so these endpoints have no calls in
/// progress, look best to the gateway, and get more calls than the endpoints that answer.
class RefusalPause
{
public:
    void noteRefused(const RefusalPauseSettings &settings, Instant now)
    {
        // Calls that were in progress at the same time are refused together and count as one refusal.
        if (isActive(now)) {
            return;
        }
        m_span = m_span == Duration::zero() ? settings.first : std::min(2 * m_span, settings.longest);
        m_refusedAt = now;
        m_until = now + m_span;
    }

    /// The endpoint accepted a call. Calls sent before the refusal don't count, since long answers go on while the
    /// endpoint refuses all new calls.
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
