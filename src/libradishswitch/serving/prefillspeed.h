#pragma once

#include "base/timerservice.h"

#include <cstdint>

namespace RadishSwitch
{

struct PrefillSpeedSettings {
    /// Speed in tokens per second that is assumed until answers show another one.
    double assumed = 101'000;
    /// The weight of the assumption, as the number of answered tokens that weigh as much. Five long prompts outweigh
    /// it.
    double assumptionWeightTokens = 10'000;
    /// Half-life of measurements. It is long compared with a burst of calls, and short compared with changes of the
    /// engines or of their load.
    Duration halfLife = std::chrono::seconds(10);
    /// Prompts with fewer tokens to prefill are ignored: their time until the first answer is mostly that of the
    /// network and the queue.
    std::int64_t minimumTokens = 1'000;
};

/// Estimates how fast the engines of a pool prefill prompts, from the time until first answers.
///
/// Engines of different deployments differ by a factor of three. When engines were three times slower than assumed, the
/// load on its way to them was underestimated by that factor, and engines with a second of work were sent more. On
/// twelve engines with 30,900 tokens per second where 101,000 were assumed, 6.6 % of calls were late.
class PrefillSpeed
{
public:
    explicit PrefillSpeed(const PrefillSpeedSettings &settings = {});

    /// The first part of an answer arrived after `taken`, for a call with `tokens` tokens to prefill.
    void note(std::int64_t tokens, Duration taken, Instant now);

    double tokensPerSecond() const;

private:
    PrefillSpeedSettings m_settings;
    /// Exponentially decayed sums.
    double m_tokens = 0;
    double m_seconds = 0;
    Instant m_notedAt{};
};

}
