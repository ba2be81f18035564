#pragma once

#include "base/timerservice.h"

#include <cstddef>

namespace RadishSwitch
{

struct EndpointBackoffSettings {
    /// Longer demands count as so long.
    Duration longest = std::chrono::hours(24);
    /// Between the returns of two gateways.
    Duration retryGap = std::chrono::milliseconds(20);
    /// The returns of all are spread over no more than this part of the backoff, at first.
    double spreadShare = 0.5;

    bool operator==(const EndpointBackoffSettings &) const = default;
};

/// How long an endpoint that asked for backoff is left alone by this process.
///
/// Load pattern: an endpoint that has too much to do turns away the calls of all gateways within a moment, with the
/// same time. When that is over it is idle and looks best to all of them: they come back together, and it turns them
/// away again. So each comes back a little later by jitter, over a time that doubles with each demand made at a return.
class EndpointBackoff
{
public:
    /// The endpoint wants nothing for a time, or for as long as it has said already. `gateways` may have been told the
    /// same; `jitter`, from 0 to 1, is drawn anew. Gives whether that is longer than what was known.
    bool extend(Duration span, std::size_t gateways, double jitter, Instant now,
                const EndpointBackoffSettings &settings = {});

    bool isActive(Instant now) const
    {
        return now < m_retryAt;
    }

    /// When calls may go there again.
    Instant retryAt() const
    {
        return m_retryAt;
    }

    /// A call was taken: where it was sent after the backoff, the next demand is a first one again.
    void noteAccepted(Instant sentAt);

private:
    Duration spread(Duration span, std::size_t gateways, const EndpointBackoffSettings &settings) const;

    Instant m_requestedUntil = Instant::min();
    Instant m_retryAt = Instant::min();
    /// Demands made at returns, one after the other.
    int m_repeats = 0;
    bool m_isAwaitingRetry = false;
};

}
