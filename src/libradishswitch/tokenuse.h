#pragma once

#include "timerservice.h"

#include <cstdint>

namespace RadishSwitch
{

/// Over which time use is averaged.
struct TokenUseSettings {
    Duration averagingTime = std::chrono::seconds(30);
    /// Use is averaged over at least so long: a few requests in a shorter time say little about the use to come.
    Duration shortestAverage = std::chrono::seconds(5);
};

/// The averaged use of one budget at one process, in tokens a second.
class TokenUse
{
public:
    explicit TokenUse(Instant now);

    /// Notes that `tokens` were used.
    void note(std::int64_t tokens, Instant now, const TokenUseSettings &settings);

    double tokensPerSecond(Instant now, const TokenUseSettings &settings) const;

private:
    double decayed(Instant now, const TokenUseSettings &settings) const;

    double m_tokensPerSecond = 0;
    Instant m_since;
    Instant m_notedAt;
};

}
