#pragma once

#include "base/timerservice.h"

#include <cstdint>

namespace RadishSwitch
{

/// Divides the endpoints of a pool between short and long prompts.
///
/// Load pattern: most prompts take an engine 10 to 30 ms, and a few take it a second. Wherever both meet, the short
/// ones wait behind a long one for longer than their target, although most engines are idle at that moment: reports
/// about the others are older than such a queue. Endpoints that only get short prompts have no such queues.
///
/// Slow endpoints get short prompts, since a long prompt there also makes the streams pause for too long. Of the others
/// as many as the share of the short prompts' tokens needs are selected by their hash, so that all gateways select
/// about the same ones without communication. The division is a preference with a price, not a limit: when one side is
/// full, its calls go to the other side.
class PromptSeparation
{
public:
    /// Prompts with fewer tokens are short. An engine prefills this many in four decoding steps, less than the time of
    /// one event.
    static constexpr std::int64_t kLongPromptTokens = 4096;
    /// Relative speed below which an endpoint is slow.
    static constexpr double kSlowSpeed = 0.7;
    /// Capacity for short prompts relative to their share of the tokens. Short prompts have the tightest targets, so
    /// that their endpoints have to be idle more often.
    static constexpr double kShortHeadroom = 1.2;
    /// Half-life of the counted tokens. It is long, since gateways that measure different shares select different
    /// endpoints, and prefixes are then prefilled at the endpoints of both.
    static constexpr Duration kHalfLife = std::chrono::minutes(5);
    /// The division is computed anew at this interval.
    static constexpr Duration kUpdateInterval = std::chrono::seconds(1);

    /// The capacity of a pool, as the sum of the relative speeds of its endpoints.
    struct Capacity {
        double slow = 0;
        double fast = 0;

        bool operator==(const Capacity &) const = default;
    };

    static bool isLong(std::int64_t promptTokens)
    {
        return promptTokens >= kLongPromptTokens;
    }

    static bool isSlow(double relativeSpeed)
    {
        return relativeSpeed < kSlowSpeed;
    }

    /// A prompt with `promptTokens` tokens was sent to an endpoint of the pool, which had to prefill `prefillTokens`.
    void noteSent(std::int64_t promptTokens, std::int64_t prefillTokens, Instant now);

    bool needsUpdate(Instant now) const
    {
        return now >= m_nextUpdate;
    }

    void update(const Capacity &capacity, Instant now);

    /// Whether an endpoint is meant for short prompts. `hash` is the hash of the endpoint's id.
    bool isForShort(double relativeSpeed, std::uint64_t hash) const;

    /// Share of the endpoints of usual speed that are meant for short prompts.
    double fastShareForShort() const
    {
        return m_fastShareForShort;
    }

private:
    /// Exponentially decayed sums of prefilled tokens.
    double m_shortTokens = 0;
    double m_allTokens = 0;
    Instant m_notedAt{};
    Instant m_nextUpdate = Instant::min();
    double m_fastShareForShort = 0;
};

}
