#pragma once

#include "base/decayingrate.h"

#include <cstdint>

namespace RadishSwitch
{

/// Averaging times for the use of a budget, and the allowance for random variation.
struct TokenUseSettings {
    Duration averagingTime = std::chrono::seconds(30);
    /// Minimum time over which use is averaged; a few requests in a shorter time say little about future use.
    Duration shortestAverage = std::chrono::seconds(5);
    /// Averaging time of a second, longer average; the larger of the two averages counts. A value below `averagingTime`
    /// disables it.
    Duration longAveragingTime = Duration::zero();
    /// Number of standard deviations of future use that are added to the expected use.
    double deviations = 0;
};

/// Average use of one budget in one process.
class TokenUse
{
public:
    explicit TokenUse(Instant now);

    void note(std::int64_t tokens, Instant now, const TokenUseSettings &settings);

    double tokensPerSecond(Instant now, const TokenUseSettings &settings) const;

    /// Tokens that are likely to be needed within `span`: the average, plus the allowance for random variation.
    double tokensWithin(Duration span, Instant now, const TokenUseSettings &settings) const;

private:
    static Duration longTime(const TokenUseSettings &settings);
    Duration observedTime(Instant now, const TokenUseSettings &settings) const;

    DecayingRate m_tokens;
    DecayingRate m_longTokens;
    /// Squares of the charges, averaged over the long time.
    DecayingRate m_squares;
    Instant m_since;
    bool m_isUsed = false;
};

}
