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
    /// An endpoint that is silent for as long gets no new work.
    Duration suspectAfter = std::chrono::seconds(2);
    /// How far the platform's list may lag: for as long after a fresh start, a "leaving" from before it is not
    /// believed.
    Duration listLag = std::chrono::seconds(10);
    /// A silent endpoint that is not listed is forgotten after as long.
    Duration removeAfter = std::chrono::seconds(60);
};

/// The endpoints that this process knows, from three sources: the agent's word, its silence, the platform's list.
///
/// The first bad news wins: an endpoint that is leaving by any source, silent, unhealthy or cut off gets no new work.
/// Good news has to come from the agent: an endpoint that is only listed is never chosen, while one that is heard from
/// stays eligible also when the list lacks it.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(DirectorySettings settings = {});

    /// One observer, or none. Told in place, in the thread of the caller.
    void setObserver(EndpointObserver *observer);

    /// Takes in an agent's report. False when it was ignored: an old sequence number, or an earlier incarnation.
    bool applyReport(const EndpointReport &report, Instant now);

    /// Takes in a load that came with an answer, between two reports. Ignored when a later one is known.
    void applyLoad(const EndpointId &endpoint, const EndpointLoad &load, Instant now);

    void applyListed(const ListedInstance &instance, Instant now);
    void applyUnlisted(const EndpointId &endpoint, Instant now);

    /// The connection to the endpoint's agent broke or went silent. Holds until the next report.
    void noteConnectionLost(const EndpointId &endpoint, Instant now);

    /// Forgets endpoints that have been silent for long and are not listed. Call it every few seconds.
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

    /// Every endpoint of the pool that answers for the model, eligible or not. An endpoint that names no model answers
    /// for all; an empty `model` gives the whole pool.
    const std::vector<EndpointSlot> &serving(const PoolId &pool, const std::string &model) const;

    std::vector<PoolId> pools() const;

    /// One more than the greatest slot in activity.
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
