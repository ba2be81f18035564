#pragma once

#include "base/decayingrate.h"

#include <cstdint>

namespace RadishSwitch
{

/// Over which time use is averaged, and what is allowed for chance.
struct TokenUseSettings {
    Duration averagingTime = std::chrono::seconds(30);
    /// Use is averaged over at least so long: a few requests in a shorter time say little about the use to come.
    Duration shortestAverage = std::chrono::seconds(5);
    /// For a second average, of which the greater counts; less than the averaging time for none.
    Duration longAveragingTime = Duration::zero();
    /// Standard deviations of the use to come that are allowed for.
    double deviations = 0;
};

/// The averaged use of one budget at one process.
class TokenUse
{
public:
    explicit TokenUse(Instant now);

    /// Notes that `tokens` were used.
    void note(std::int64_t tokens, Instant now, const TokenUseSettings &settings);

    double tokensPerSecond(Instant now, const TokenUseSettings &settings) const;

    /// What the next `span` is likely to need: the average, and what is allowed for chance.
    double tokensWithin(Duration span, Instant now, const TokenUseSettings &settings) const;

private:
    static Duration longTime(const TokenUseSettings &settings);
    Duration observedTime(Instant now, const TokenUseSettings &settings) const;

    DecayingRate m_tokens;
    DecayingRate m_longTokens;
    /// Of the squares of charges, over the long time.
    DecayingRate m_squares;
    Instant m_since;
    bool m_isUsed = false;
};

}
