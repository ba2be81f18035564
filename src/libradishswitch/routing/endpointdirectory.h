#pragma once

#include "membership/listedinstance.h"
#include "routing/endpointobserver.h"
#include "routing/endpointreport.h"
#include "routing/endpointstate.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct DirectorySettings {
    /// An endpoint whose agent has not reported for this long gets no new work.
    Duration suspectAfter = std::chrono::seconds(2);
    /// Upper bound on the lag of the platform's list. For this long after an agent restarted, the directory ignores a
    /// "leaving" that the list already showed before the restart.
    Duration listLag = std::chrono::seconds(10);
    /// An endpoint that is not listed is removed when its agent has not reported for this long.
    Duration removeAfter = std::chrono::seconds(60);
};

/// The endpoints that this process knows. Their state has three sources: the reports of the agents, the absence of
/// reports, and the platform's list of instances.
///
/// Bad news from any source takes effect: an endpoint that the agent or the list says is leaving, that is silent or
/// unhealthy, or whose connection is lost, gets no new work. Good news counts only from the agent: an endpoint that is
/// only listed is never chosen, while an endpoint whose agent reports stays eligible even if the list does not contain
/// it.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(DirectorySettings settings = {});

    /// Sets the only observer, or removes it with null. The directory calls the observer synchronously, in the thread
    /// that changes the directory.
    void setObserver(EndpointObserver *observer);

    /// Applies an agent's report. Returns false when the report is ignored because its sequence number is not newer
    /// than the last one, or because it comes from an earlier incarnation.
    bool applyReport(const EndpointReport &report, Instant now);

    /// Applies a load that came with an answer, between two reports. It is ignored when the directory already has a
    /// load that was measured later.
    void applyLoad(const EndpointId &endpoint, const EndpointLoad &load, Instant now);

    void applyListed(const ListedInstance &instance, Instant now);
    void applyUnlisted(const EndpointId &endpoint, Instant now);

    /// The connection to the endpoint's agent broke or timed out. The endpoint gets no new work until its agent's next
    /// report.
    void noteConnectionLost(const EndpointId &endpoint, Instant now);

    /// Removes endpoints that are not listed and whose agents have not reported for `DirectorySettings::removeAfter`.
    /// To be called every few seconds.
    void removeSilent(Instant now);

    EndpointStatus status(EndpointSlot slot, Instant now) const;

    bool isEligible(EndpointSlot slot, Instant now) const
    {
        return status(slot, now) == EndpointStatus::Eligible;
    }

    const EndpointState &state(EndpointSlot slot) const
    {
        return *m_states[slot];
    }

    /// Null when the endpoint is not known.
    const EndpointState *find(const EndpointId &endpoint) const;
    std::optional<EndpointSlot> slotOf(const EndpointId &endpoint) const;

    /// Every endpoint of the pool that serves the model, eligible or not. If no endpoint names the model, those
    /// endpoints are returned that name no models at all and so serve any. An empty `model` returns the whole pool.
    const std::vector<EndpointSlot> &serving(const PoolId &pool, const std::string &model) const;

    std::vector<PoolId> pools() const;

    /// Upper bound of the slots: every slot in use is below this number.
    std::size_t slotLimit() const
    {
        return m_states.size();
    }

private:
    struct PoolIndex {
        std::vector<EndpointSlot> all;
        std::vector<EndpointSlot> withoutModels;
        absl::flat_hash_map<std::string, std::vector<EndpointSlot>> byModel;
    };

    EndpointState &findOrCreate(const EndpointId &endpoint);
    void beginIncarnation(EndpointState &state, const EndpointReport &report, Instant now);
    void storeReport(EndpointState &state, const EndpointReport &report, Instant now);
    void setPoolAndModels(EndpointState &state, const PoolId &pool, const std::vector<std::string> &models);
    void rebuildIndex(const PoolId &pool);
    void removeEndpoint(EndpointSlot slot);

    DirectorySettings m_settings;
    EndpointObserver *m_observer = nullptr;
    std::vector<std::unique_ptr<EndpointState>> m_states;
    std::vector<EndpointSlot> m_freeSlots;
    absl::flat_hash_map<EndpointId, EndpointSlot> m_slots;
    absl::flat_hash_map<PoolId, PoolIndex> m_pools;
};

}
