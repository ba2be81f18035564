#include "requests/requestregistry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// A failed run that cost something has had its one bill, so it can't run for another. A non-idempotent one that failed
/// is Unknown, not Failed.
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

/// Of several attempts of one request, which one tells how it stands.
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
    case RequestState::Opening:
    case RequestState::Admitted:
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

RequestVerdict RequestRegistry::judge(const AdmitQuestion &question) const
{
    const KnownRequest *known = find(question.request);
    if (!known) {
        return m_requests.size() < m_settings.maximum ? RequestVerdict::Admit : RequestVerdict::Full;
    }
    if (known->fingerprint != question.fingerprint) {
        return RequestVerdict::OtherBody;
    }
    if (known->state == RequestState::Opening || known->state == RequestState::Admitted) {
        return RequestVerdict::Wait;
    }
    if (mayRunAgain(*known)) {
        return RequestVerdict::Admit;
    }
    const bool hasAnswer = known->state == RequestState::Dispatched || known->state == RequestState::Done;
    return hasAnswer && !known->dispatches.empty() ? RequestVerdict::Attach : RequestVerdict::Spent;
}

void RequestRegistry::open(const AdmitQuestion &question, std::uint32_t shard, const AttemptId &attempt)
{
    KnownRequest known;
    known.fingerprint = question.fingerprint;
    known.shard = shard;
    known.isKeyed = question.isKeyed;
    known.isNonIdempotent = question.isNonIdempotent;
    known.grantedAttempt = attempt;
    m_requests.insert_or_assign(question.request, std::move(known));
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

void RequestRegistry::learn(const RunRecord &record, std::uint32_t shard, Instant now)
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
    known.isOwn = false;
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
        return known.isKeyed && known.shard == shard && (known.hasEnded() || !known.isOwn);
    });
}

void RequestRegistry::expire(Instant now)
{
    while (!m_expiries.empty() && m_expiries.front().due <= now) {
        const Expiry expiry = std::move(m_expiries.front());
        m_expiries.pop_front();
        const KnownRequest *known = find(expiry.request);
        // One that runs again since then has no end or a later one.
        if (known && known->hasEnded() && known->expiry <= now) {
            forget(expiry.request);
        }
    }
}

}
