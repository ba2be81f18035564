#include "listedinstances.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr char kPrefix[] = "instances/";
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(500);

std::optional<PlatformInstance> parseInstance(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto text = [&json](const char *name) {
        const auto it = json.find(name);
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    PlatformInstance instance;
    instance.name = text("name");
    instance.role = text("role") == "entry" ? InstanceRole::Entry : InstanceRole::Agent;
    instance.address = text("address");
    instance.admin = text("admin");
    instance.zone = text("zone");
    instance.region = text("region");
    instance.pool = text("pool");
    instance.isLeaving = text("state") == "leaving";
    if (instance.name.empty() || instance.address.empty()) {
        return std::nullopt;
    }
    return instance;
}

}

ListedInstances::ListedInstances(ObjectStore &store, TimerService &timers)
    : m_store(store)
    , m_timers(timers)
{
}

void ListedInstances::subscribe(Subscriber subscriber)
{
    m_subscribers.push_back(std::move(subscriber));
}

void ListedInstances::start()
{
    relist();
}

std::vector<std::string> ListedInstances::agentAddresses() const
{
    std::vector<std::string> addresses;
    for (const PlatformInstance &instance : m_present) {
        if (instance.role == InstanceRole::Agent) {
            addresses.push_back(instance.address);
        }
    }
    for (const auto &[address, gone] : m_agentsGone) {
        if (m_timers.now() - gone < kMemoryOfTheGone) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

const std::vector<PlatformInstance> &ListedInstances::present() const
{
    return m_present;
}

void ListedInstances::relist()
{
    m_store.list(kPrefix, [this](absl::StatusOr<StoreChanges> changes) {
        if (!changes.ok()) {
            m_timers.after(kPauseAfterFailure, [this] {
                relist();
            });
            return;
        }
        m_byKey.clear();
        take(*changes);
        watch();
    });
}

void ListedInstances::watch()
{
    m_store.watch(kPrefix, m_version, [this](absl::StatusOr<StoreChanges> changes) {
        if (!changes.ok()) {
            m_timers.after(kPauseAfterFailure, [this] {
                relist();
            });
            return;
        }
        take(*changes);
        watch();
    });
}

void ListedInstances::take(const StoreChanges &changes)
{
    m_version = changes.nextVersion;
    for (const StoredObject &object : changes.objects) {
        const std::optional<PlatformInstance> instance =
            object.version == 0 ? std::nullopt : parseInstance(object.value);
        if (instance) {
            m_byKey[object.key] = *instance;
        } else {
            m_byKey.erase(object.key);
        }
    }
    publish();
}

void ListedInstances::publish()
{
    const std::vector<PlatformInstance> before = std::exchange(m_present, {});
    for (const auto &[key, instance] : m_byKey) {
        m_present.push_back(instance);
    }
    for (const PlatformInstance &instance : before) {
        if (instance.role == InstanceRole::Agent) {
            m_agentsGone[instance.address] = m_timers.now();
        }
    }
    for (const PlatformInstance &instance : m_present) {
        m_agentsGone.erase(instance.address);
    }
    for (const Subscriber &subscriber : m_subscribers) {
        subscriber(m_present);
    }
}

}
