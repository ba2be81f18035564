#pragma once

#include "base/forwardingstore.h"
#include "base/randomsource.h"
#include "base/timerservice.h"

#include <functional>

namespace RadishSwitch
{

struct ProbedStoreSettings {
    /// Pause between two probes of a store that does not answer: it starts with the first, doubles up to the longest,
    /// and is drawn between half and all of that.
    Duration firstPause = std::chrono::milliseconds(200);
    Duration longestPause = std::chrono::seconds(2);
};

/// The platform's store, which is probed with a single small call while it does not answer.
///
/// Load pattern: a third of the fleet is cut off from the store for nine seconds, or the store is unavailable for all.
/// Each part of a process that follows objects retries by itself, and each call costs money: 4,000 calls more than on a
/// quiet day. A single cheap call shows for the whole process whether the store answers again; until then all other
/// calls fail at once.
///
/// Applies to lists and watches. Writes have their own limits.
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
