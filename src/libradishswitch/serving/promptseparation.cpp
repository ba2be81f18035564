#include "serving/promptseparation.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

/// Share of the short prompts that is assumed until a gateway has sent about this many tokens, which takes it a minute
/// or two. A share measured in seconds differs too much between gateways.
constexpr double kAssumedShare = 0.36;
constexpr double kAssumptionTokens = 4'000'000;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

void PromptSeparation::noteSent(std::int64_t promptTokens, std::int64_t prefillTokens, Instant now)
{
    const double kept = std::exp2(-seconds(now - m_notedAt) / seconds(kHalfLife));
    const auto tokens = static_cast<double>(std::max<std::int64_t>(prefillTokens, 0));
    m_shortTokens = m_shortTokens * kept + (isLong(promptTokens) ? 0 : tokens);
    m_allTokens = m_allTokens * kept + tokens;
    m_notedAt = now;
}

void PromptSeparation::update(const Capacity &capacity, Instant now)
{
    m_nextUpdate = now + kUpdateInterval;
    const double share = (m_shortTokens + kAssumedShare * kAssumptionTokens) / (m_allTokens + kAssumptionTokens);
    const double needed = kShortHeadroom * share * (capacity.slow + capacity.fast) - capacity.slow;
    m_fastShareForShort = capacity.fast > 0 ? std::clamp(needed / capacity.fast, 0.0, 1.0) : 0;
}

bool PromptSeparation::isForShort(double relativeSpeed, std::uint64_t hash) const
{
    return isSlow(relativeSpeed) || static_cast<double>(hash) * 0x1p-64 < m_fastShareForShort;
}

}
