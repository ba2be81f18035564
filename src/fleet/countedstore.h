#pragma once

#include "base/forwardingstore.h"
#include "base/timerservice.h"
#include "metrics.h"

#include <map>
#include <string>

namespace RadishSwitch
{

/// A store whose calls are counted by what they are for: the platform charges for each, and turns down those beyond a
/// rate. A line tells the counts of each span of `kTellInterval` in which there were any.
class CountedStore : public ForwardingStore
{
public:
    static constexpr Duration kTellInterval = std::chrono::seconds(10);

    CountedStore(ObjectStore &store, TimerService &timers, Metrics &metrics);
    ~CountedStore() override;

    void get(const std::string &key, Callback<StoredObject> callback) override;
    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override;
    void remove(const std::string &key, std::uint64_t expectedVersion,
                std::function<void(absl::Status)> callback) override;
    void list(const std::string &prefix, Callback<StoreChanges> callback) override;
    void listRelaxed(const std::string &prefix, Callback<StoreChanges> callback) override;
    void watch(const std::string &prefix, std::uint64_t fromVersion, Callback<StoreChanges> callback) override;

private:
    struct Count {
        Counter *total = nullptr;
        int untold = 0;
    };

    /// Purposes are the kind of call and of object: "list servers", "put ledger".
    void count(const std::string &verb, const std::string &key);
    void tell();

    TimerService &m_timers;
    Metrics &m_metrics;
    std::map<std::string, Count> m_counts;
    TimerId m_timer = 0;
};

}
