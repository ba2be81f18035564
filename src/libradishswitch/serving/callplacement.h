#pragma once

#include "base/randomsource.h"
#include "routing/prefixcachehints.h"
#include "routing/routequery.h"
#include "serving/affinityranking.h"
#include "serving/endpointadmission.h"
#include "serving/endpointloadsource.h"
#include "serving/endpointregistry.h"
#include "serving/placementquery.h"
#include "serving/placementsettings.h"
#include "serving/prefillspeed.h"
#include "serving/promptseparation.h"

#include <absl/container/inlined_vector.h>

#include <string>

namespace RadishSwitch
{

/// Chooses the endpoint of each call, and learns from how calls go.
///
/// Load pattern: prompts of up to 70,000 tokens among many short ones. A short call queued behind a long prompt misses
/// its latency target. The cost of an endpoint is therefore the expected time until the first token: the prompt tokens
/// that it still has to prefill, plus those of this prompt that are not in its prefix cache.
///
/// Calls that share a prefix are sent to the endpoint that rendezvous hashing selects for it. All gateways select the
/// same endpoint without communication. When that endpoint is so busy that recomputing the prefix elsewhere is quicker,
/// the call goes elsewhere.
///
/// In a pool whose endpoints differ in speed, according to the source of their load, the cost is that of NeedCost. A
/// bounded number of endpoints is examined there.
class CallPlacement
{
public:
    CallPlacement(EndpointRegistry &registry, const EndpointAdmission &admission, RandomSource &random,
                  std::string ownZone, PlacementSettings settings = {});

    /// The source must outlive this object. Null, the default: load and speed of endpoints are known only from this
    /// process's calls.
    void setLoadSource(const EndpointLoadSource *source)
    {
        m_loads = source;
    }

    /// The endpoint with the shortest expected time to the first answer among those with room; nullopt if none has
    /// room.
    std::optional<EndpointSlot> choose(const PlacementQuery &query, Instant now);

    /// Whether the pool has any endpoint that may be sent such calls, with or without room.
    bool hasOpenEndpoint(const PlacementQuery &query, Instant now) const;

    /// Time until the first endpoint open to such calls ends its backoff; nullopt if at least one of them is not in
    /// backoff.
    std::optional<Duration> untilBackoffEnds(const PlacementQuery &query, Instant now) const;

    /// The fraction of such calls that should be shed, from 0 to 1, because all endpoints that could take them answer
    /// late.
    double overload(const PlacementQuery &query, Instant now) const;

    /// Records whether an answer was late. Only calls whose latency indicates the endpoint's load are recorded.
    void noteOverload(EndpointSlot slot, bool isLate, Instant now);

    /// Whether an endpoint has room but this process's share of its limited calls is used up.
    bool isLimitedByAllowances(const PlacementQuery &query, Instant now) const;

    /// Records that a call was sent. Returns the number of its prompt tokens that the endpoint has to prefill.
    std::int64_t noteSent(EndpointSlot slot, const PlacementQuery &query, Instant now);

    /// The endpoint no longer has these tokens to prefill: the first part of the answer has arrived, or the call ended
    /// before.
    void notePrefilled(EndpointSlot slot, std::int64_t prefillTokens);

    /// The first part of the answer arrived after `taken`, for a call with `prefillTokens` tokens to prefill.
    void noteFirstAnswer(EndpointSlot slot, std::int64_t prefillTokens, Duration taken, Instant now);

    void noteEnded(EndpointSlot slot, RunEnd end, Instant now);

    /// The endpoint has asked this gateway for backoff, and possibly all `gateways` gateways of the fleet. Returns true
    /// if the backoff ends later than the one known before.
    bool noteBackoff(EndpointSlot slot, Duration backoff, std::size_t gateways, Instant now);

    /// The endpoint has begun to answer, or has answered, a call that was sent at `sentAt`.
    void noteAccepted(EndpointSlot slot, Instant sentAt);

    /// A run failed, or its endpoint has been silent for too long.
    void noteFailed(EndpointSlot slot, Instant now);

    /// The endpoint has crashed. It is ejected at once, as if it had failed repeatedly.
    void noteCrashed(EndpointSlot slot, Instant now);

    /// Discards the prefix cache hints of an endpoint whose slot was freed.
    void forget(EndpointSlot slot);

    Duration expectedFirstAnswer(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

private:
    /// The prefixes of a prompt. It is computed once and compared with the prefix cache of each endpoint of the pool.
    struct Prompt {
        explicit Prompt(const std::vector<PromptPart> &parts);

        /// One hash for each part, over that part and all parts before it: a cached part is of use only if all parts
        /// before it are cached too.
        std::vector<std::uint64_t> prefixHashes;
        /// Number of tokens from the start of each part to the end of the prompt; the last element is 0.
        std::vector<std::int64_t> tokensFrom;
    };

    enum class SelectionMode {
        Preferred,
        /// Ejected and suspect endpoints are candidates too.
        LastResort,
    };

    /// One call for which endpoints are compared by its needs.
    struct NeedChoice {
        const PlacementQuery &query;
        const Prompt &prompt;
        SelectionMode mode;
        Instant now;
        double poolTokensPerSecond;
        const PromptSeparation &separation;
        std::optional<EndpointSlot> affinity;
    };

    /// The maximum number of endpoints that are examined for a call by its needs, of those drawn at random among them,
    /// and of random draws for these. Further draws seldom find room if half of the endpoints are full.
    static constexpr std::size_t kMaximumCandidates = 16;
    static constexpr std::size_t kRandomCandidates = 8;
    static constexpr std::size_t kMaximumHolders = kMaximumCandidates - kRandomCandidates - 1;
    static constexpr std::size_t kMaximumDraws = 3 * kRandomCandidates;

    using Candidates = absl::InlinedVector<EndpointSlot, kMaximumCandidates>;

    bool isCandidate(EndpointSlot slot, const PlacementQuery &query, SelectionMode mode, Instant now) const;
    std::optional<EndpointSlot> cheapest(const PlacementQuery &query, SelectionMode mode, Instant now);
    std::optional<EndpointSlot> affinityEndpoint(const PlacementQuery &query, SelectionMode mode, Instant now) const;
    std::optional<EndpointSlot> cheapestByNeed(const PlacementQuery &query, SelectionMode mode, Instant now);
    std::optional<EndpointSlot> affinityByNeed(const NeedChoice &choice);
    bool isWithoutLongPause(EndpointSlot slot, const NeedChoice &choice) const;
    const PromptSeparation &separation(const PoolId &pool, Instant now);
    bool isMisplaced(EndpointSlot slot, const NeedChoice &choice) const;
    Candidates drawCandidates(const NeedChoice &choice);
    double needCost(EndpointSlot slot, const NeedChoice &choice) const;
    double relativeSpeed(EndpointSlot slot, Instant now) const;
    bool isPlacedByNeed(const PlacementQuery &query) const;
    bool isUneven(const PoolId &pool) const;
    std::int64_t tokensToPrefill(EndpointSlot slot, const Prompt &prompt) const;
    double cost(EndpointSlot slot, const PlacementQuery &query, const Prompt &prompt,
                std::optional<EndpointSlot> affinity, Instant now) const;
    double delaySeconds(const RegisteredEndpoint &endpoint, Instant now) const;
    double prefillTokensPerSecond(const PoolId &pool) const;
    void ejectUnlessTooMany(EndpointSlot slot, Instant now);

    EndpointRegistry &m_registry;
    const EndpointAdmission &m_admission;
    RandomSource &m_random;
    const std::string m_ownZone;
    const PlacementSettings m_settings;
    PrefixCacheHints m_hints;
    absl::flat_hash_map<PoolId, PrefillSpeed> m_speeds;
    AffinityRanking m_ranking;
    /// Of the pools in which calls are placed by needs.
    absl::flat_hash_map<PoolId, PromptSeparation> m_separations;
    const EndpointLoadSource *m_loads = nullptr;
};

}
