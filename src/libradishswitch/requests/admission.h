#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <variant>

namespace RadishSwitch
{

/// What an entry asks of a request's home before it sends the request anywhere.
struct AdmitQuestion {
    RequestId request;
    BudgetId budget;
    /// The most that the request can cost; zero for free plain services, which reserve nothing.
    std::int64_t worstCaseTokens = 0;
    /// Digest of what the caller asked for, so that a key used for another body is told apart from a retry.
    std::string fingerprint;
    /// Whether the caller gave an idempotency key. Without one the id is fresh and no other entry asks for it.
    bool isKeyed = false;
    bool isNonIdempotent = false;
    /// When the caller stops waiting.
    Instant deadline;
    PoolId pool;

    bool operator==(const AdmitQuestion &) const = default;
};

/// Leave to run a request, once.
struct Grant {
    /// The portion against which the worst case is reserved; empty when nothing was.
    PortionId portion;
    /// Goes into the run, so that an agent can refuse one that a deposed owner granted. Zero for unkeyed requests.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::int64_t reservedTokens = 0;
    /// The id under which the first attempt must be made: the home can bar it at the agents when the entry dies before
    /// it told where it sent the run. A further attempt has a fresh id and is sent only after the home has noted it.
    AttemptId attempt;
    /// Whether a run that an earlier owner of the key granted may still turn up, and be billed instead. Goes into the
    /// run, so that the agent keeps its charge apart.
    bool isProvisional = false;
    /// Only agents that had started before may be sent the run; see ReservedPortion.
    Instant portionConfirmedAt = Instant::max();

    bool operator==(const Grant &) const = default;
};

/// The request runs or has run already; its answer is to be had from this agent.
struct DuplicateRun {
    std::string agentAddress;
    AttemptId attempt;
    bool isDone = false;

    bool operator==(const DuplicateRun &) const = default;
};

using AdmitDecision = std::variant<Grant, DuplicateRun>;

/// How a granted request ended at the entry that served it.
struct Settlement {
    /// What the agent charged.
    std::int64_t chargedTokens = 0;
    /// Whether every agent that was sent the run has proved that it did not start it and never will.
    bool isNotRun = false;
    bool isFailed = false;
    /// The grant that this ends. A late copy of a settlement must not end a later grant of the same request; empty
    /// matches any grant.
    AttemptId grantedAttempt = {};

    bool operator==(const Settlement &) const = default;
};

}
