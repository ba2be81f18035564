#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <variant>

namespace RadishSwitch
{

/// What an entry asks the home of a request before it sends the request to any agent.
struct AdmissionQuery {
    RequestId request;
    BudgetId budget;
    /// The most tokens that the request can cost. Zero for plain services, which are free and reserve nothing.
    std::int64_t worstCaseTokens = 0;
    /// Digest of the request body. The home compares it to tell a retry from a key that is reused for another body.
    std::string fingerprint;
    /// Whether the caller gave an idempotency key. Without a key the request id is fresh, and no other entry asks for
    /// it.
    bool isKeyed = false;
    bool isNonIdempotent = false;
    /// The time at which the caller stops waiting.
    Instant deadline;
    PoolId pool;

    bool operator==(const AdmissionQuery &) const = default;
};

/// The home's permission to run a request once.
struct Grant {
    /// The budget portion on which the worst case is reserved. Empty when nothing was reserved.
    PortionId portion;
    /// The key shard and its epoch. The entry sends them with the run, so that an agent can refuse a run that a deposed
    /// owner granted. Zero for unkeyed requests.
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::int64_t reservedTokens = 0;
    /// The id under which the entry must make the first attempt. If the entry dies before it reported where it sent the
    /// run, the home can bar this id at the agents. Each further attempt has a fresh id, and the entry sends it only
    /// after the home has recorded it.
    AttemptId attempt;
    /// Whether a run that an earlier owner of the key granted may still be found and billed instead. The entry sends
    /// this with the run, so that the agent records the charge separately.
    bool isProvisional = false;
    /// The run may be sent only to agents that started before this time; see ReservedPortion.
    Instant portionConfirmedAt = Instant::max();

    bool operator==(const Grant &) const = default;
};

/// The request is running or has run already. The entry fetches the answer from this agent.
struct DuplicateRun {
    std::string agentAddress;
    AttemptId attempt;
    bool isDone = false;

    bool operator==(const DuplicateRun &) const = default;
};

using AdmitDecision = std::variant<Grant, DuplicateRun>;

/// How a granted request ended at the entry that served it.
struct Settlement {
    /// The number of tokens that the agent charged.
    std::int64_t chargedTokens = 0;
    /// Whether every agent to which the run was sent has proved that it did not start the run and never will.
    bool isNotRun = false;
    bool isFailed = false;
    /// The attempt of the grant that this settlement ends. A settlement that is delivered twice must not end a later
    /// grant of the same request. An empty id matches any grant.
    AttemptId grantedAttempt = {};

    bool operator==(const Settlement &) const = default;
};

}
