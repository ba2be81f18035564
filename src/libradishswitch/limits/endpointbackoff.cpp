#include "limits/endpointbackoff.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr int kMostRepeats = 16;

Duration times(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}

bool EndpointBackoff::extend(Duration span, std::size_t gateways, double chance, Instant now,
                             const EndpointBackoffSettings &settings)
{
    const Duration bounded = std::min(span, settings.longest);
    if (bounded <= Duration::zero() || now + bounded <= m_askedUntil) {
        return false;
    }
    if (!isOn(now)) {
        m_repeats = m_isAwaitingReturn ? std::min(m_repeats + 1, kMostRepeats) : 0;
    }
    m_isAwaitingReturn = true;
    m_askedUntil = now + bounded;
    m_returnAt = std::max(m_returnAt, m_askedUntil + times(spread(bounded, gateways, settings), chance));
    return true;
}

void EndpointBackoff::noteTaken(Instant sentAt)
{
    if (!isOn(sentAt)) {
        m_isAwaitingReturn = false;
    }
}

// Never longer than the backoff itself: an endpoint that is well again must not be starved.
Duration EndpointBackoff::spread(Duration span, std::size_t gateways, const EndpointBackoffSettings &settings) const
{
    const auto others = static_cast<double>(std::max<std::size_t>(gateways, 1) - 1);
    const Duration first = std::min(times(settings.returnGap, others), times(span, settings.spreadShare));
    return std::min(times(first, std::exp2(m_repeats)), span);
}

}
