#include "requests/requestregistry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// A failed run that was charged has used the request's one bill, so the request cannot run again on another. A
/// non-idempotent request that failed has the state Unknown, not Failed.
bool mayRunAgain(const KnownRequest &known)
{
    return known.state == RequestState::Failed && known.chargedTokens == 0;
}

RequestState stateOf(const RunRecord &record)
{
    switch (record.state) {
    case RunState::Running:
        return RequestState::Dispatched;
    case RunState::Done:
        return RequestState::Done;
    case RunState::Failed:
        return record.isNonIdempotent ? RequestState::Unknown : RequestState::Failed;
    case RunState::Unknown:
    case RunState::Barred:
        break;
    }
    return RequestState::NotRun;
}

/// How far an attempt progressed. Of several attempts of a request, the one with the highest rank determines its state.
int rankOf(RequestState state)
{
    switch (state) {
    case RequestState::Failed:
        return 1;
    case RequestState::Unknown:
        return 2;
    case RequestState::Dispatched:
        return 3;
    case RequestState::Done:
        return 4;
    case RequestState::Pending:
    case RequestState::Granted:
    case RequestState::NotRun:
        break;
    }
    return 0;
}

}

RequestRegistry::RequestRegistry(RequestRegistrySettings settings)
    : m_settings(settings)
{
}

RequestVerdict RequestRegistry::check(const AdmissionQuery &query) const
{
    const KnownRequest *known = find(query.request);
    if (!known) {
        return m_requests.size() < m_settings.maximum ? RequestVerdict::Admit : RequestVerdict::Full;
    }
    if (known->fingerprint != query.fingerprint) {
        return RequestVerdict::BodyMismatch;
    }
    if (known->state == RequestState::Pending || known->state == RequestState::Granted) {
        return RequestVerdict::Wait;
    }
    if (mayRunAgain(*known)) {
        return RequestVerdict::Admit;
    }
    const bool hasAnswer = known->state == RequestState::Dispatched || known->state == RequestState::Done;
    return hasAnswer && !known->dispatches.empty() ? RequestVerdict::Attach : RequestVerdict::NotRepeatable;
}

void RequestRegistry::open(const AdmissionQuery &query, std::uint32_t shard, const AttemptId &attempt)
{
    KnownRequest known;
    known.fingerprint = query.fingerprint;
    known.shard = shard;
    known.isKeyed = query.isKeyed;
    known.isNonIdempotent = query.isNonIdempotent;
    known.grantedAttempt = attempt;
    m_requests.insert_or_assign(query.request, std::move(known));
}

KnownRequest *RequestRegistry::find(const RequestId &request)
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : &it->second;
}

const KnownRequest *RequestRegistry::find(const RequestId &request) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : &it->second;
}

void RequestRegistry::end(const RequestId &request, RequestState state, std::int64_t chargedTokens, Instant now)
{
    KnownRequest *known = find(request);
    if (!known) {
        return;
    }
    if (!known->isKeyed || state == RequestState::NotRun) {
        return forget(request);
    }
    known->state = state;
    known->chargedTokens = chargedTokens;
    known->expiry = now + m_settings.retention;
    m_expiries.push_back({request, known->expiry});
}

void RequestRegistry::forget(const RequestId &request)
{
    m_requests.erase(request);
}

void RequestRegistry::addReportedRun(const RunRecord &record, std::uint32_t shard, Instant now)
{
    const RequestState state = stateOf(record);
    const KnownRequest *earlier = find(record.request);
    if (state == RequestState::NotRun || (earlier && rankOf(earlier->state) >= rankOf(state))) {
        return;
    }
    KnownRequest known;
    known.state = state;
    known.fingerprint = record.fingerprint;
    known.shard = shard;
    known.isKeyed = true;
    known.isNonIdempotent = record.isNonIdempotent;
    known.isGrantedHere = false;
    known.grantedAttempt = record.attempt;
    known.dispatches = {{record.attempt, record.agentAddress}};
    known.portion = record.portion;
    m_requests.insert_or_assign(record.request, std::move(known));
    if (state != RequestState::Dispatched) {
        end(record.request, state, record.chargedTokens, now);
    }
}

void RequestRegistry::forgetShard(std::uint32_t shard)
{
    absl::erase_if(m_requests, [shard](const auto &item) {
        const KnownRequest &known = item.second;
        return known.isKeyed && known.shard == shard && (known.hasEnded() || !known.isGrantedHere);
    });
}

void RequestRegistry::expire(Instant now)
{
    while (!m_expiries.empty() && m_expiries.front().due <= now) {
        const Expiry expiry = std::move(m_expiries.front());
        m_expiries.pop_front();
        const KnownRequest *known = find(expiry.request);
        // A request that has run again since then is still running or has a later expiry.
        if (known && known->hasEnded() && known->expiry <= now) {
            forget(expiry.request);
        }
    }
}

}
