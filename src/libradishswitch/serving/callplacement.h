#pragma once

#include "base/randomsource.h"
#include "routing/prefixcachehints.h"
#include "routing/routequery.h"
#include "serving/endpointadmission.h"
#include "serving/endpointregistry.h"
#include "serving/placementquery.h"
#include "serving/placementsettings.h"
#include "serving/prefillspeed.h"

#include <string>

namespace RadishSwitch
{

/// Chooses the endpoint of each call, and learns from how calls go.
///
/// Load pattern: prompts of up to 70,000 tokens among many short ones. A short call behind a long prompt misses its
/// target, so what counts is the time until the first token: what an endpoint has still to read, and what of this
/// prompt it has not read yet. Calls that share a part of their prompts meet at the endpoint that rendezvous hashing
/// gives for that part, in all processes alike and without a word between them, unless it is so busy that reading anew
/// elsewhere is quicker.
class CallPlacement
{
public:
    CallPlacement(EndpointRegistry &registry, const EndpointAdmission &admission, RandomSource &random,
                  std::string ownZone, PlacementSettings settings = {});

    /// The endpoint with the least time to the first answer among those that have room; nothing when none has.
    std::optional<EndpointSlot> choose(const PlacementQuery &query, Instant now);

    /// Whether the pool has any endpoint that may be sent new calls, with room or not.
    bool hasOpenEndpoint(const PlacementQuery &query, Instant now) const;

    /// How long until the first of the endpoints that may be sent such calls may be sent calls again; nothing where
    /// any may now.
    std::optional<Duration> untilBackoffEnds(const PlacementQuery &query, Instant now) const;

    /// The part of such calls that is to be turned away, since the endpoints that could take them answer late already.
    double pressure(const PlacementQuery &query, Instant now) const;

    /// How a call went that tells whether its endpoint is sent too much.
    void notePressure(EndpointSlot slot, bool isLate, Instant now);

    /// Whether an endpoint has room that is spared only since it is cold.
    bool isLimitedByAllowances(const PlacementQuery &query, Instant now) const;

    /// A call was sent. Gives the prompt tokens that the endpoint has to read for it.
    std::int64_t noteSent(EndpointSlot slot, const PlacementQuery &query, Instant now);

    /// The first part of the answer came, or the call ended before: `prefillTokens` of its prompt no longer waits
    /// there.
    void notePrefilled(EndpointSlot slot, std::int64_t prefillTokens);

    /// The first part of the answer took `taken`, and `prefillTokens` tokens had to be read for it.
    void noteFirstAnswer(EndpointSlot slot, std::int64_t prefillTokens, Duration taken, Instant now);

    void noteEnded(EndpointSlot slot, RunEnd end, Instant now);

    /// The endpoint wants nothing for a time, and `gateways` may have been told so. Gives whether that is longer than
    /// what was known.
    bool noteBackoff(EndpointSlot slot, Duration backoff, std::size_t gateways, Instant now);

    /// The endpoint has begun to answer a call, or has answered it, that was sent at `sentAt`.
    void noteTaken(EndpointSlot slot, Instant sentAt);

    /// A run failed, or goes on without a word.
    void noteFailed(EndpointSlot slot, Instant now);

    /// The endpoint takes no connections: it is left out at once, as if it had failed often.
    void noteCrashed(EndpointSlot slot, Instant now);

    /// Forgets what is known of an endpoint whose slot was freed.
    void forget(EndpointSlot slot);

    Duration expectedFirstAnswer(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

private:
    /// What of a prompt endpoints may have read, worked out once for all of a pool.
    struct Prompt {
        explicit Prompt(const std::vector<PromptPart> &parts);

        /// One hash a part, each over the parts before it too, since a part is of use only behind these.
        std::vector<std::uint64_t> chain;
        /// Tokens from each part on; none from the end.
        std::vector<std::int64_t> tokensFrom;
    };

    enum class SelectionMode {
        Preferred,
        /// Also ejected and doubtful ones.
        LastResort,
    };

    bool isCandidate(EndpointSlot slot, const PlacementQuery &query, SelectionMode mode, Instant now) const;
    std::optional<EndpointSlot> cheapest(const PlacementQuery &query, SelectionMode mode, Instant now);
    std::optional<EndpointSlot> affinityEndpoint(const PlacementQuery &query, SelectionMode mode, Instant now) const;
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
};

}
