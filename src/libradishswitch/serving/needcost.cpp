#include "serving/needcost.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr double kNoRiskUpTo = 0.7;
constexpr double kCertainFrom = 1.1;
/// Lower bound of speeds, so that nothing is divided by zero.
constexpr double kMinimumTokensPerSecond = 1;

}

NeedCost::NeedCost(const NeedCostInputs &inputs)
    : m_inputs(inputs)
{
}

double NeedCost::risk(double shareOfTarget)
{
    return std::clamp((shareOfTarget - kNoRiskUpTo) / (kCertainFrom - kNoRiskUpTo), 0.0, 1.0);
}

double NeedCost::tokensPerSecond() const
{
    return std::max(m_inputs.poolTokensPerSecond * m_inputs.load.relativeSpeed, kMinimumTokensPerSecond);
}

double NeedCost::firstAnswerSeconds() const
{
    return (m_inputs.promptTokens + m_inputs.pendingTokens) / tokensPerSecond() + m_inputs.load.waitSeconds
        + m_inputs.otherSeconds;
}

// The learnt prefill speed includes the time that prompts wait, so that under load it is too low, and all endpoints
// would appear to cause long pauses. The lesser of both estimates is therefore taken.
double NeedCost::pauseSeconds(double tokens) const
{
    const double idle = m_inputs.load.idleEventSeconds;
    const double bySpeed = idle + std::min(tokens, kTokensPrefilledPerEvent) / tokensPerSecond();
    return idle > 0 ? std::min(bySpeed, pauseByIdleInterval(idle, tokens)) : bySpeed;
}

double NeedCost::pauseByIdleInterval(double idleEventSeconds, double tokens)
{
    const double share = std::min(tokens, kTokensPrefilledPerEvent) / kTokensPrefilledPerEvent;
    return idleEventSeconds * (1 + kPrefillStepRatio * share);
}

double NeedCost::firstAnswerRisk() const
{
    return m_inputs.targetSeconds > 0 ? risk(firstAnswerSeconds() / m_inputs.targetSeconds) : 0;
}

double NeedCost::ownPauseRisk() const
{
    if (m_inputs.targetGapSeconds <= 0) {
        return 0;
    }
    const double pause = std::max(m_inputs.load.pauseSeconds, m_inputs.load.idleEventSeconds);
    const double weight = m_inputs.expectedEvents > 0 ? std::min(1.0, m_inputs.expectedEvents / kEventsOfWholeRisk) : 1;
    return risk(pause / m_inputs.targetGapSeconds) * weight;
}

// The measured pause does not reduce the harm: it may be over, and an endpoint whose streams were late once should not
// attract further long prompts.
double NeedCost::harmedStreams() const
{
    if (m_inputs.targetGapSeconds <= 0 || m_inputs.load.running <= 0) {
        return 0;
    }
    const double before = risk(pauseSeconds(m_inputs.pendingTokens) / m_inputs.targetGapSeconds);
    const double after = risk(pauseSeconds(m_inputs.pendingTokens + m_inputs.promptTokens) / m_inputs.targetGapSeconds);
    return m_inputs.load.running * (after - before);
}

bool NeedCost::fillsMemory() const
{
    const LoadEstimate &load = m_inputs.load;
    return load.memoryShare * (1 + 1 / std::max(load.running, kFewestRunning)) > kFullMemoryShare;
}

double NeedCost::total() const
{
    const double lateCalls = firstAnswerRisk() + ownPauseRisk() + harmedStreams() + (fillsMemory() ? 1 : 0);
    return firstAnswerSeconds() + m_inputs.lateCallSeconds * lateCalls;
}

}
