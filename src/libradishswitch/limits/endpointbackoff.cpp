#include "limits/endpointbackoff.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr int kMaxRepeats = 16;

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}

bool EndpointBackoff::extend(Duration span, std::size_t gateways, double jitter, Instant now,
                             const EndpointBackoffSettings &settings)
{
    const Duration bounded = std::min(span, settings.longest);
    if (bounded <= Duration::zero() || now + bounded <= m_requestedUntil) {
        return false;
    }
    if (!isActive(now)) {
        m_repeats = m_isAwaitingRetry ? std::min(m_repeats + 1, kMaxRepeats) : 0;
    }
    m_isAwaitingRetry = true;
    m_requestedUntil = now + bounded;
    m_retryAt = std::max(m_retryAt, m_requestedUntil + scaled(spread(bounded, gateways, settings), jitter));
    return true;
}

void EndpointBackoff::noteAccepted(Instant sentAt)
{
    if (!isActive(sentAt)) {
        m_isAwaitingRetry = false;
    }
}

// The spread never exceeds the backoff itself, so that an endpoint that has recovered gets calls again soon.
Duration EndpointBackoff::spread(Duration span, std::size_t gateways, const EndpointBackoffSettings &settings) const
{
    const auto others = static_cast<double>(std::max<std::size_t>(gateways, 1) - 1);
    const Duration first = std::min(scaled(settings.retryGap, others), scaled(span, settings.spreadShare));
    return std::min(scaled(first, std::exp2(m_repeats)), span);
}

}
