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
    /// Being admitted: nobody has leave to run it yet.
    Opening,
    /// Leave was given; where the run went is not known.
    Admitted,
    Dispatched,
    Done,
    /// Started and failed; idempotent.
    Failed,
    /// Certainly not run; may run again. Not kept.
    NotRun,
    /// It may have run and may not be run again.
    Unknown,
};

/// Where an attempt was sent.
struct Dispatch {
    AttemptId attempt;
    /// Names one life of one agent: an agent started anew at the same address and port is another one.
    std::string agentAddress;

    bool operator==(const Dispatch &) const = default;
};

/// What a home knows of one request.
struct KnownRequest {
    RequestState state = RequestState::Opening;
    std::string fingerprint;
    std::uint32_t shard = 0;
    /// Under which it was granted here.
    std::uint64_t epoch = 0;
    bool isKeyed = false;
    bool isNonIdempotent = false;
    /// Whether this home gave the leave. Otherwise it learned of the run from an agent, and whoever holds the portion
    /// bills it.
    bool isOwn = true;
    /// Whether the leave was given while a run of an earlier owner could still turn up.
    bool isProvisional = false;
    AttemptId grantedAttempt;
    Instant grantedAt;
    /// In the order in which they were sent; the last holds the answer.
    std::vector<Dispatch> dispatches;
    PortionId portion;
    std::int64_t chargedTokens = 0;
    /// When it is forgotten; set at its end.
    Instant expiry;

    bool hasEnded() const
    {
        return state == RequestState::Done || state == RequestState::Failed || state == RequestState::Unknown;
    }

    bool operator==(const KnownRequest &) const = default;
};

struct RequestRegistrySettings {
    /// How long the end of a request is remembered, for retries with the same key.
    Duration retention = std::chrono::minutes(10);
    /// Beyond this, new requests are refused; to forget an ended one early could run and bill its retry again.
    std::size_t maximum = 200000;

    bool operator==(const RequestRegistrySettings &) const = default;
};

/// What a home is to do with a request, going by what it knows of the id.
enum class RequestVerdict {
    /// Never heard of, or certainly not run.
    Admit,
    /// An earlier question of the same request is not decided yet.
    Wait,
    /// Runs or has run; attach to the last dispatch.
    Attach,
    /// Same key, other body.
    OtherBody,
    /// It ran or may have run, and must not run again.
    Spent,
    /// No room for more.
    Full,
};

/// The requests that a home has lately decided on, by id: the memory that lets a retry find the first run.
class RequestRegistry
{
public:
    explicit RequestRegistry(RequestRegistrySettings settings);

    RequestVerdict judge(const AdmitQuestion &question) const;

    /// Notes a request that is being admitted, over whatever was known of the id.
    void open(const AdmitQuestion &question, std::uint32_t shard, const AttemptId &attempt);

    /// The request, or null. The pointer holds until the next change of the registry.
    KnownRequest *find(const RequestId &request);
    const KnownRequest *find(const RequestId &request) const;

    /// Ends a request: Done, Failed or Unknown are remembered for the retention (keyed) or forgotten (unkeyed).
    void end(const RequestId &request, RequestState state, std::int64_t chargedTokens, Instant now);

    void forget(const RequestId &request);

    /// Forgets what has ended or was learned in a shard that went to another owner, who may have it run again.
    void forgetShard(std::uint32_t shard);

    /// Takes in what an agent told of a run that this home did not grant. Of several attempts the one that got furthest
    /// counts.
    void learn(const RunRecord &record, std::uint32_t shard, Instant now);

    /// Forgets what has ended longer ago than the retention.
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
