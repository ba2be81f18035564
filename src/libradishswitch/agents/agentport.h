#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class RunState {
    Unknown,
    Running,
    Done,
    Failed,
    /// The run has not started, and the agent will not start it any more.
    Barred,
};

/// Whether barring an attempt also stops its run if that has started already.
enum class RunStop {
    Never,
    /// The run is stopped unless its answer is being read. For callers that cannot know whether the reader is alive.
    IfUnread,
    Always,
};

/// An agent's record of a run.
struct RunRecord {
    RequestId request;
    AttemptId attempt;
    RunState state = RunState::Unknown;
    PortionId portion;
    std::int64_t reservedTokens = 0;
    std::int64_t chargedTokens = 0;
    std::string fingerprint;
    bool isNonIdempotent = false;
    bool isAnswerKept = false;
    std::string agentAddress;
    /// The key shard under which the run was granted. Only the agent itself needs it.
    std::uint32_t shard = 0;
    /// The epoch of the key owner that granted the run. When one request has two charges, the one with the lower epoch
    /// is valid.
    std::uint64_t epoch = 0;
    /// The run was granted while a run of the same request, granted by an earlier key owner, could still be found.
    bool isProvisional = false;

    bool operator==(const RunRecord &) const = default;
};

/// Everything that one agent has charged to a portion. An agent that has answered with this starts no new run on the
/// portion.
struct PortionCharges {
    struct Charge {
        RequestId request;
        std::int64_t tokens = 0;

        bool operator==(const Charge &) const = default;
    };

    PortionId portion;
    std::vector<Charge> charges;
    /// Sum of the older charges, which the agent no longer keeps one by one.
    std::int64_t foldedTokens = 0;
    /// Sum of the charges of provisional runs, which the fields above do not include. An earlier run may already have
    /// been billed for the same requests. Only the holder of the portion could find that out; without the holder these
    /// tokens must be withheld.
    std::int64_t provisionalTokens = 0;
    std::vector<RunRecord> running;
    /// The agent knows every charge of this past time span, which reaches back to its own start at most. Charges to a
    /// portion that was opened earlier may be missing, so this record proves nothing for such a portion.
    Duration completeFor{};

    bool operator==(const PortionCharges &) const = default;
};

/// Interface to the agents. Answers are delivered through the task queue. A call fails with ConnectionLost or
/// ConnectionSilent when the agent could not be asked.
class AgentPort
{
public:
    virtual ~AgentPort() = default;

    /// All agents that may hold a run: the listed ones, those that were removed from the list lately, and those that
    /// became known in other ways.
    virtual std::vector<std::string> agentAddresses() const = 0;

    /// Whether the platform no longer lists the agent. Such an agent may still be finishing its runs, but if it cannot
    /// be asked either, it counts as dead and its records as lost.
    virtual bool isGone(const std::string &agentAddress) const
    {
        const std::vector<std::string> addresses = agentAddresses();
        return std::find(addresses.begin(), addresses.end(), agentAddress) == addresses.end();
    }

    /// Asks the agent which of these requests it knows. With an epoch above zero, the agent from then on refuses runs
    /// of the shard that were granted under a lower epoch. With an epoch and an empty list of requests, the agent
    /// returns every run with an idempotency key in the shard that has started and whose full record it still has.
    virtual void findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                          std::uint64_t epoch,
                          std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) = 0;

    /// Closes portions at the agent and returns what was charged to them.
    virtual void closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                               std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) = 0;

    /// Makes sure that the attempt will not start any more, and stops its run as `stop` says. Returns the record of the
    /// run after that.
    virtual void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RunStop stop,
                     std::function<void(absl::StatusOr<RunRecord>)> callback) = 0;
};

}
