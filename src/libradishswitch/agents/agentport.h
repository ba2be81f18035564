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
    /// Never started, and never will.
    Barred,
};

/// What becomes of a run that has started when its attempt is barred.
enum class RunStop {
    Never,
    /// Stopped unless somebody reads its answer: for one who can't know whether the reader is alive.
    IfUnread,
    Always,
};

/// What an agent remembers of a run.
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
    /// The key shard under which it was granted. Only the agent itself needs it.
    std::uint32_t shard = 0;
    /// The epoch of the key owner that granted it. Of two charges of one request the one of the lower epoch stands.
    std::uint64_t epoch = 0;
    /// Granted while a run of an earlier owner could still turn up.
    bool isProvisional = false;

    bool operator==(const RunRecord &) const = default;
};

/// What one agent has charged to a portion. Once told, that agent lets no new run on the portion.
struct PortionCharges {
    struct Charge {
        RequestId request;
        std::int64_t tokens = 0;

        bool operator==(const Charge &) const = default;
    };

    PortionId portion;
    std::vector<Charge> charges;
    /// Charges older than the agent keeps one by one.
    std::int64_t foldedTokens = 0;
    /// Charges of provisional runs, in neither of the above. The same requests may be billed by an earlier run, which
    /// only the portion's holder could find out; without it they must be withheld.
    std::int64_t provisionalTokens = 0;
    std::vector<RunRecord> running;
    /// How far back the agent knows every charge: not before its own start. Nothing is proved for a portion that was
    /// opened earlier; what was charged to it there may be missing.
    Duration completeFor{};

    bool operator==(const PortionCharges &) const = default;
};

/// The agents as the decisions see them. Answers come through the task queue; ConnectionLost or ConnectionSilent when
/// the agent could not be asked.
class AgentPort
{
public:
    virtual ~AgentPort() = default;

    /// Every agent that may hold a run: those listed, and those lately gone from the list or heard of in other ways.
    virtual std::vector<std::string> agentAddresses() const = 0;

    /// Whether the platform does not list the agent any more. It may still be ending its runs; but one that cannot be
    /// asked either is taken for dead, with all that it knew.
    virtual bool isGone(const std::string &agentAddress) const
    {
        const std::vector<std::string> addresses = agentAddresses();
        return std::find(addresses.begin(), addresses.end(), agentAddress) == addresses.end();
    }

    /// Which of these requests does the agent know? With an epoch above zero the agent from then on refuses runs of
    /// the shard under a lower one. With an epoch and no requests named it tells of every keyed run of the shard that
    /// started and whose full record it still has.
    virtual void findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                          std::uint64_t epoch,
                          std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) = 0;

    /// Closes portions at the agent and tells what was charged to them.
    virtual void closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                               std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) = 0;

    /// Makes sure that the attempt does not start any more, and may stop it. Gives its record after that.
    virtual void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RunStop stop,
                     std::function<void(absl::StatusOr<RunRecord>)> callback) = 0;
};

}
