#pragma once

#include "base/forwardingstore.h"
#include "base/timerservice.h"
#include "metrics.h"

#include <map>
#include <string>

namespace RadishSwitch
{

/// Counts the calls to a store by purpose, since the platform charges for each call and rejects calls beyond a maximum
/// rate. While there are calls, logs their counts once per `kLogInterval`.
class CountedStore : public ForwardingStore
{
public:
    static constexpr Duration kLogInterval = std::chrono::seconds(10);

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
        int unlogged = 0;
    };

    /// Counts a call under its purpose, which is the kind of call and the kind of object: "list servers", "put ledger".
    void count(const std::string &verb, const std::string &key);
    void logCounts();

    TimerService &m_timers;
    Metrics &m_metrics;
    std::map<std::string, Count> m_counts;
    TimerId m_timer = 0;
};

}
