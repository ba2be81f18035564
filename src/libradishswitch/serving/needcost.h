#pragma once

#include "serving/endpointloadsource.h"

namespace RadishSwitch
{

/// What the cost of one endpoint for one call depends on. Times are in seconds; what is zero is not known, and has no
/// term in the cost.
struct NeedCostInputs {
    /// The endpoint, as last reported.
    LoadEstimate load;
    /// Prefill speed of the median endpoint of the pool.
    double poolTokensPerSecond = 0;
    /// Prompt tokens of the call that the endpoint has to prefill, and those of this process's earlier calls that it
    /// has not prefilled yet.
    double promptTokens = 0;
    double pendingTokens = 0;
    /// Other parts of the cost: batch, zone, measured delay, recomputed prefixes.
    double otherSeconds = 0;
    /// The target of the first answer, and the longest pause between two events of a stream that is in time.
    double targetSeconds = 0;
    double targetGapSeconds = 0;
    /// Expected number of events of the answer.
    double expectedEvents = 0;
    /// Cost of a late call.
    double lateCallSeconds = 1;

    bool operator==(const NeedCostInputs &) const = default;
};

/// The cost of an endpoint for a call: the expected time to the first answer, and the calls that are expected to be
/// late because of this choice, each of which costs as much as `lateCallSeconds` of waiting.
///
/// Load pattern: engines of one pool differ in speed, and long prompts run among streams. While a long prompt is
/// prefilled, each decoding step also processes a part of it. At a slow engine the streams then pause for longer than
/// their callers accept, although the time to the first answer is in order there.
class NeedCost
{
public:
    /// Prompt tokens that are prefilled during one event of a stream: seven decoding steps, each of which also
    /// processes up to 1,024 tokens.
    static constexpr double kTokensPrefilledPerEvent = 7 * 1024;
    /// A step that also prefills a whole chunk takes longer than a decoding step by this many decoding steps. Engines
    /// with 3.0 ms a step and 101 tokens per millisecond have a ratio of 3.4, those with 3.82 ms and 68.2 tokens one
    /// of 3.9.
    static constexpr double kPrefillStepRatio = 4;
    /// Share of an endpoint's memory above which running streams may be preempted.
    static constexpr double kFullMemoryShare = 0.9;
    /// An answer with fewer events than this has a proportionally smaller chance to meet a pause.
    static constexpr double kEventsOfWholeRisk = 10;
    /// A call is assumed to take as much memory as the mean of the running calls, but with fewer running calls than
    /// this, only as much as if there were so many: few calls say little about others.
    static constexpr double kFewestRunning = 8;

    explicit NeedCost(const NeedCostInputs &inputs);

    /// Probability that a time is late, given as a multiple of its target. Linear between 0.7, since the estimate may
    /// be too low, and 1.1, since it may be too high.
    static double risk(double shareOfTarget);

    /// Pause between two events of a stream at an endpoint that prefills `tokens` tokens at the same time, by the
    /// endpoint's idle interval alone, so that all processes agree on it.
    static double pauseByIdleInterval(double idleEventSeconds, double tokens);

    /// Prefill speed of the endpoint.
    double tokensPerSecond() const;

    /// Expected time until the first part of the answer.
    double firstAnswerSeconds() const;

    /// Pause between two events of a stream at the endpoint while it prefills `tokens` tokens.
    double pauseSeconds(double tokens) const;

    /// Risk that the first answer is late.
    double firstAnswerRisk() const;

    /// Risk that the call's own stream has a pause over its target gap, weighted by the number of its events.
    double ownPauseRisk() const;

    /// Number of running streams that this prompt is expected to make late.
    double harmedStreams() const;

    /// Whether the endpoint's memory will be nearly full with this call.
    bool fillsMemory() const;

    /// The whole cost in seconds.
    double total() const;

private:
    const NeedCostInputs m_inputs;
};

}
