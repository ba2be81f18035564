#pragma once

#include "base/forwardingstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <functional>

namespace RadishSwitch
{

struct ProbedStoreSettings {
    /// Pauses between two questions to a store that does not answer: the first, doubled up to the longest, each drawn
    /// between half and the whole.
    Duration firstPause = std::chrono::milliseconds(200);
    Duration longestPause = std::chrono::seconds(2);
};

/// The platform's store, which a process asks a single small storeCall while it does not answer.
///
/// Load pattern: a third of the fleet is cut off from the store for nine seconds, or the store is away for all. Each
/// part of each process that follows something there asks again by itself, and each storeCall is paid for: 4,000 calls
/// more than on a quiet day. One storeCall that is answered at once, of the cheapest kind, tells for all of a process
/// whether the store is back; until then the others fail at once.
///
/// Holds for lists and watches. Writes have their own limits.
class ProbedStore : public ForwardingStore
{
public:
    ProbedStore(ObjectStore &store, TimerService &timers, RandomSource &random, ProbedStoreSettings settings = {});

    void list(const std::string &prefix, Callback<StoreChanges> callback) override;
    void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback) override;
    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override;

private:
    using StoreCall = std::function<void(Callback<StoreChanges>)>;

    void forward(const StoreCall &storeCall, Callback<StoreChanges> callback);
    void probe(const StoreCall &storeCall, Callback<StoreChanges> callback);
    Callback<StoreChanges> recordingOutcome(Callback<StoreChanges> callback);
    void noteFailed(Instant calledAt);
    Duration drawPause();

    TimerService &m_timers;
    RandomSource &m_random;
    const ProbedStoreSettings m_settings;
    int m_failures = 0;
    Instant m_failedAt = Instant::min();
    Instant m_nextProbeAt = Instant::min();
};

}
