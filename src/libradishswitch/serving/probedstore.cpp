#include "serving/probedstore.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr int kMaxDoublings = 10;

/// No object has this prefix, so that listing it is answered at once and costs next to nothing.
constexpr char kProbePrefix[] = "probe/";

bool isAnswer(const absl::StatusOr<StoreChanges> &changes)
{
    if (changes.ok()) {
        return true;
    }
    const FailureCode code = failureCode(changes.status());
    return code == FailureCode::HistoryGone || code == FailureCode::ObjectMissing;
}

}

ProbedStore::ProbedStore(ObjectStore &store, TimerService &timers, RandomSource &random, ProbedStoreSettings settings)
    : ForwardingStore(store)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
{
}

void ProbedStore::list(const std::string &prefix, Callback<StoreChanges> callback)
{
    forward(
        [this, prefix](Callback<StoreChanges> onAnswer) {
            store().list(prefix, std::move(onAnswer));
        },
        std::move(callback));
}

void ProbedStore::listRelaxed(const std::string &prefix, Callback<StoreChanges> callback)
{
    forward(
        [this, prefix](Callback<StoreChanges> onAnswer) {
            store().listRelaxed(prefix, std::move(onAnswer));
        },
        std::move(callback));
}

void ProbedStore::watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback)
{
    forward(
        [this, prefix, fromVersion](Callback<StoreChanges> onAnswer) {
            store().watch(prefix, fromVersion, std::move(onAnswer));
        },
        std::move(callback));
}

void ProbedStore::forward(const StoreCall &storeCall, Callback<StoreChanges> callback)
{
    if (m_failures == 0) {
        return storeCall(recordingOutcome(std::move(callback)));
    }
    if (m_timers.now() < m_nextProbeAt) {
        return callback(makeFailure(FailureCode::StoreUnavailable, "the store did not answer a previous call"));
    }
    probe(storeCall, std::move(callback));
}

void ProbedStore::probe(const StoreCall &storeCall, Callback<StoreChanges> callback)
{
    m_nextProbeAt = m_timers.now() + drawPause();
    const Instant calledAt = m_timers.now();
    store().listRelaxed(kProbePrefix, [this, storeCall, calledAt, callback = std::move(callback)](const auto &changes) {
        if (isAnswer(changes)) {
            m_failures = 0;
            return storeCall(recordingOutcome(callback));
        }
        noteFailed(calledAt);
        callback(changes.status());
    });
}

ObjectStore::Callback<StoreChanges> ProbedStore::recordingOutcome(Callback<StoreChanges> callback)
{
    const Instant calledAt = m_timers.now();
    return [this, calledAt, callback = std::move(callback)](const absl::StatusOr<StoreChanges> &changes) {
        if (isAnswer(changes)) {
            m_failures = 0;
        } else {
            noteFailed(calledAt);
        }
        callback(changes);
    };
}

// Calls that were in progress at the same time fail together and count as one failure.
void ProbedStore::noteFailed(Instant calledAt)
{
    if (m_failures > 0 && calledAt <= m_failedAt) {
        return;
    }
    m_failures = std::min(m_failures + 1, kMaxDoublings);
    m_failedAt = m_timers.now();
    m_nextProbeAt = std::max(m_nextProbeAt, m_failedAt + drawPause());
}

Duration ProbedStore::drawPause()
{
    const int doublings = std::max(m_failures - 1, 0);
    const Duration whole = std::min(m_settings.longestPause, m_settings.firstPause * (1 << doublings));
    return whole / 2 + Duration(static_cast<Duration::rep>(m_random.below(whole.count() / 2 + 1)));
}

}
