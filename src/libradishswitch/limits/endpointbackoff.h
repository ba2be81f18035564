#pragma once

#include "base/timerservice.h"

#include <cstddef>

namespace RadishSwitch
{

struct EndpointBackoffSettings {
    /// Upper bound on a backoff. A longer one requested by an endpoint is cut to this.
    Duration longest = std::chrono::hours(24);
    /// Intended time between the first calls of two gateways after the backoff.
    Duration retryGap = std::chrono::milliseconds(20);
    /// For a first request for backoff, the gateways' first calls afterwards are spread over at most this share of the
    /// backoff.
    double spreadShare = 0.5;

    bool operator==(const EndpointBackoffSettings &) const = default;
};

/// How long this process sends no calls to an endpoint that asked for backoff.
///
/// Load pattern: an overloaded endpoint refuses the calls of all gateways within a moment and gives all of them the
/// same backoff. When the backoff ends, the endpoint is idle and looks best to every gateway. They all return at once,
/// and the endpoint refuses their calls again. Each gateway therefore returns after an additional random delay, whose
/// range doubles each time the endpoint asks for backoff again on the return.
class EndpointBackoff
{
public:
    /// Handles an endpoint's request for a backoff of `span`. `gateways` is the number of gateways that may have
    /// received the same request, `jitter` a fresh random number from 0 to 1. Returns whether the backoff became
    /// longer.
    bool extend(Duration span, std::size_t gateways, double jitter, Instant now,
                const EndpointBackoffSettings &settings = {});

    bool isActive(Instant now) const
    {
        return now < m_retryAt;
    }

    /// When calls may be sent to the endpoint again.
    Instant retryAt() const
    {
        return m_retryAt;
    }

    /// The endpoint accepted a call. If the call was sent after the backoff, the next request for backoff counts as a
    /// first one.
    void noteAccepted(Instant sentAt);

private:
    Duration spread(Duration span, std::size_t gateways, const EndpointBackoffSettings &settings) const;

    Instant m_requestedUntil = Instant::min();
    Instant m_retryAt = Instant::min();
    /// How often in a row the endpoint asked for backoff again on the return.
    int m_repeats = 0;
    bool m_isAwaitingRetry = false;
};

}
