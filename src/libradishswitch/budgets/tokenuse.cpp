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

// A short average follows a surge, and of a budget with a call a second it is mostly chance: over four seconds half of
// such portions lasted half as long as they should. So the greater of a short and a long one counts.
double TokenUse::tokensPerSecond(Instant now, const TokenUseSettings &settings) const
{
    const Duration span = observedTime(now, settings);
    return std::max(m_tokens.perSecond(now, span, settings.averagingTime),
                    m_longTokens.perSecond(now, span, longTime(settings)));
}

// Calls come by chance and their sizes differ a hundredfold. The variance of what they use together is the sum of the
// squares of their sizes; next to the average it is small for a budget with twenty calls a second and as large as it
// for one with a call a second.
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

// The average begins at nothing, and would take a budget that has just come into use for one that is hardly used: its
// portion would be dry long before the survival time when the store goes away then. So it is set against the weight
// that it can have gathered so far.
Duration TokenUse::observedTime(Instant now, const TokenUseSettings &settings) const
{
    return std::max<Duration>(now - m_since, settings.shortestAverage);
}

}
