#include "budgets/tokenuse.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

TokenUse::TokenUse(Instant now)
    : m_since(now)
{
}

void TokenUse::note(std::int64_t tokens, Instant now, const TokenUseSettings &settings)
{
    if (!m_isUsed) {
        m_since = now;
        m_isUsed = true;
    }
    const auto amount = static_cast<double>(tokens);
    m_tokens.note(amount, now, settings.averagingTime);
    m_longTokens.note(amount, now, longTime(settings));
    m_squares.note(amount * amount, now, longTime(settings));
}

// A short average follows a surge quickly, but for a budget with one call per second it is mostly random: with an
// average over four seconds, half of such portions lasted half as long as they should. So the larger of a short and a
// long average counts.
double TokenUse::tokensPerSecond(Instant now, const TokenUseSettings &settings) const
{
    const Duration span = observedTime(now, settings);
    return std::max(m_tokens.perSecond(now, span, settings.averagingTime),
                    m_longTokens.perSecond(now, span, longTime(settings)));
}

// Calls arrive at random and their sizes differ by a factor of a hundred. The variance of their total use is the sum of
// the squares of their sizes. Relative to the average it is small for a budget with twenty calls per second, and as
// large as the average for one with one call per second.
double TokenUse::tokensWithin(Duration span, Instant now, const TokenUseSettings &settings) const
{
    const double seconds = std::chrono::duration<double>(span).count();
    const double variance = m_squares.perSecond(now, observedTime(now, settings), longTime(settings)) * seconds;
    return tokensPerSecond(now, settings) * seconds + settings.deviations * std::sqrt(variance);
}

Duration TokenUse::longTime(const TokenUseSettings &settings)
{
    return std::max(settings.longAveragingTime, settings.averagingTime);
}

// The average starts at zero and would underestimate a budget that has just come into use: in an outage, its portion
// would be used up long before the survival time. So the average is scaled to the time that was actually observed.
Duration TokenUse::observedTime(Instant now, const TokenUseSettings &settings) const
{
    return std::max<Duration>(now - m_since, settings.shortestAverage);
}

}
