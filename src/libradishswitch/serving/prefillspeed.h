#pragma once

#include "base/timerservice.h"

#include <cstdint>

namespace RadishSwitch
{

struct PrefillSpeedSettings {
    /// Tokens a second, until answers have told it.
    double assumed = 101'000;
    /// The assumption weighs as much as answers to so many tokens: five long prompts outweigh it.
    double assumptionWeightTokens = 10'000;
    /// What answers told is forgotten by half in this time: long against the calls of one clump, short against a change
    /// of the engines or of their load.
    Duration halfLife = std::chrono::seconds(10);
    /// Of a shorter prompt the time until the first answer is mostly the network's and the queue's.
    std::int64_t minimumTokens = 1'000;
};

/// How fast the engines of a pool read prompts, as first answers tell it.
///
/// Engines differ threefold between deployments. Where prompts took three times as long to read as assumed, load that
/// was on its way counted for a third of what it was, and engines with work for a second were sent more: on twelve
/// engines, 30,900 tokens a second where 101,000 were assumed, 6.6 % of calls were late.
class PrefillSpeed
{
public:
    explicit PrefillSpeed(const PrefillSpeedSettings &settings = {});

    /// The first part of an answer took `taken`, and `tokens` had to be read for it.
    void note(std::int64_t tokens, Duration taken, Instant now);

    double tokensPerSecond() const;

private:
    PrefillSpeedSettings m_settings;
    /// Sums in which older answers count less.
    double m_tokens = 0;
    double m_seconds = 0;
    Instant m_notedAt{};
};

}
