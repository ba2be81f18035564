#include "tokenuse.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

TokenUse::TokenUse(Instant now)
    : m_since(now)
    , m_notedAt(now)
{
}

void TokenUse::note(std::int64_t tokens, Instant now, const TokenUseSettings &settings)
{
    if (m_tokensPerSecond == 0) {
        m_since = now;
    }
    m_tokensPerSecond = decayed(now, settings) + static_cast<double>(tokens) / secondsOf(settings.averagingTime);
    m_notedAt = now;
}

// The average begins at nothing, and would take a budget that has just come into use for one that is hardly used: its
// portion would be dry long before the survival time when the store goes away then. So it is set against the weight
// that it can have gathered so far.
double TokenUse::tokensPerSecond(Instant now, const TokenUseSettings &settings) const
{
    const Duration span = std::max<Duration>(now - m_since, settings.shortestAverage);
    const double weight = 1 - std::exp(-secondsOf(span) / secondsOf(settings.averagingTime));
    return decayed(now, settings) / weight;
}

double TokenUse::decayed(Instant now, const TokenUseSettings &settings) const
{
    return m_tokensPerSecond * std::exp(-secondsOf(now - m_notedAt) / secondsOf(settings.averagingTime));
}

}
