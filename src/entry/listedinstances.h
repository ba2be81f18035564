#pragma once

#include "base/objectstore.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace RadishSwitch
{

enum class InstanceRole {
    Entry,
    Agent,
};

/// One instance in the platform's list.
struct PlatformInstance {
    std::string name;
    InstanceRole role = InstanceRole::Agent;
    /// Where the fleet's other processes reach it.
    std::string address;
    std::string admin;
    std::string zone;
    std::string region;
    std::string pool;
    bool isLeaving = false;

    bool operator==(const PlatformInstance &) const = default;
};

/// Follows the platform's lagging list of instances, through the object API's watch and, when that fails or falls
/// silent, by listing again.
class ListedInstances
{
public:
    using Subscriber = std::function<void(const std::vector<PlatformInstance> &present)>;

    /// An address stays among the agents that may hold a run for so long after it left the list.
    static constexpr Duration kMemoryOfTheGone = std::chrono::hours(1);

    ListedInstances(ObjectStore &store, TimerService &timers);

    /// Called with the whole list at each change. Before `start`.
    void subscribe(Subscriber subscriber);

    void start();

    /// Agents in the list, and those gone from it lately: a run may still be at one of them.
    std::vector<std::string> agentAddresses() const;

    const std::vector<PlatformInstance> &present() const;

private:
    void relist();
    void watch();
    void take(const StoreChanges &changes);
    void publish();

    ObjectStore &m_store;
    TimerService &m_timers;
    std::vector<Subscriber> m_subscribers;
    std::map<std::string, PlatformInstance> m_byKey;
    std::vector<PlatformInstance> m_present;
    std::map<std::string, Instant> m_agentsGone;
    std::uint64_t m_version = 0;
};

}
