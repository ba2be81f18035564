#pragma once

#include "agents/agentport.h"
#include "base/identifier.h"
#include "base/timerservice.h"
#include "requests/admission.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class RequestState {
    /// The request is being admitted; nobody may run it yet.
    Pending,
    /// The request was granted; the home does not know yet to which agent the run is sent.
    Granted,
    Dispatched,
    Done,
    /// The run started and failed. Only for idempotent requests.
    Failed,
    /// The request has certainly not run and may run again. This state is not stored.
    NotRun,
    /// The request may have run and must not run again.
    Unknown,
};

/// An attempt, and the agent to which it was sent.
struct Dispatch {
    AttemptId attempt;
    /// Identifies one incarnation of an agent: an agent that restarts at the same address and port is another one.
    std::string agentAddress;

    bool operator==(const Dispatch &) const = default;
};

/// What a home knows of one request.
struct KnownRequest {
    RequestState state = RequestState::Pending;
    std::string fingerprint;
    std::uint32_t shard = 0;
    /// The epoch of the shard under which this home granted the request.
    std::uint64_t epoch = 0;
    bool isKeyed = false;
    bool isNonIdempotent = false;
    /// Whether this home granted the request. If not, an agent reported the run, and the holder of the portion bills
    /// it.
    bool isGrantedHere = true;
    /// Whether the request was granted while a run of an earlier owner could still be reported.
    bool isProvisional = false;
    AttemptId grantedAttempt;
    Instant grantedAt;
    /// In the order in which the attempts were sent. The last one has the answer.
    std::vector<Dispatch> dispatches;
    PortionId portion;
    std::int64_t chargedTokens = 0;
    /// When the request is forgotten; set when it ends.
    Instant expiry;

    bool hasEnded() const
    {
        return state == RequestState::Done || state == RequestState::Failed || state == RequestState::Unknown;
    }

    bool operator==(const KnownRequest &) const = default;
};

struct RequestRegistrySettings {
    /// How long a request is remembered after its end, for retries with the same key.
    Duration retention = std::chrono::minutes(10);
    /// The most requests that are remembered. Beyond it new requests are refused, because forgetting an ended request
    /// early would let its retry run and be billed again.
    std::size_t maximum = 200000;

    bool operator==(const RequestRegistrySettings &) const = default;
};

/// What a home does with an admission query, based on what it knows of the request id.
enum class RequestVerdict {
    /// The request is unknown, or has certainly not run.
    Admit,
    /// An earlier query of the same request has not been decided yet.
    Wait,
    /// The request is running or has run; the caller attaches to the last dispatch.
    Attach,
    /// The same key was used with another body.
    BodyMismatch,
    /// The request ran or may have run, and must not run again.
    NotRepeatable,
    /// The registry holds the maximum number of requests.
    Full,
};

/// The requests on which a home has recently decided, by id. With it a retry finds the first run.
class RequestRegistry
{
public:
    explicit RequestRegistry(RequestRegistrySettings settings);

    RequestVerdict check(const AdmissionQuery &query) const;

    /// Adds a request that is being admitted. Replaces what was known of the id.
    void open(const AdmissionQuery &query, std::uint32_t shard, const AttemptId &attempt);

    /// The request, or null. The pointer is valid until the next change of the registry.
    KnownRequest *find(const RequestId &request);
    const KnownRequest *find(const RequestId &request) const;

    /// Ends a request. A keyed request that ended as Done, Failed or Unknown is remembered for the retention. An
    /// unkeyed request, or one that ended as NotRun, is forgotten at once.
    void end(const RequestId &request, RequestState state, std::int64_t chargedTokens, Instant now);

    void forget(const RequestId &request);

    /// Forgets the requests of a shard that went to another owner, if they have ended or were reported by agents: the
    /// new owner may run them again.
    void forgetShard(std::uint32_t shard);

    /// Records a run that an agent reported and this home did not grant. Of several attempts, the one that progressed
    /// furthest is kept.
    void addReportedRun(const RunRecord &record, std::uint32_t shard, Instant now);

    /// Forgets the requests whose retention has passed.
    void expire(Instant now);

    std::size_t size() const
    {
        return m_requests.size();
    }

private:
    struct Expiry {
        RequestId request;
        Instant due;
    };

    const RequestRegistrySettings m_settings;
    absl::flat_hash_map<RequestId, KnownRequest> m_requests;
    std::deque<Expiry> m_expiries;
};

}
