#include "routing/endpointdirectory.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kPastIncarnationsKept = 4;
const std::vector<EndpointSlot> kNoSlots;

bool isPastIncarnation(const EndpointState &state, const IncarnationId &incarnation)
{
    return std::ranges::find(state.pastIncarnations, incarnation) != state.pastIncarnations.end();
}

}

EndpointDirectory::EndpointDirectory(DirectorySettings settings)
    : m_settings(settings)
{
}

void EndpointDirectory::setObserver(EndpointObserver *observer)
{
    m_observer = observer;
}

bool EndpointDirectory::applyReport(const EndpointReport &report, Instant now)
{
    EndpointState &state = findOrCreate(report.endpoint);
    if (isPastIncarnation(state, report.incarnation)) {
        return false;
    }
    if (!state.hasReported || state.incarnation != report.incarnation) {
        beginIncarnation(state, report, now);
    } else if (report.sequence <= state.sequence) {
        return false;
    }
    storeReport(state, report, now);
    return true;
}

void EndpointDirectory::applyLoad(const EndpointId &endpoint, const EndpointLoad &load, Instant now)
{
    const std::optional<EndpointSlot> slot = slotOf(endpoint);
    if (!slot) {
        return;
    }
    EndpointState &state = *m_states[*slot];
    const Instant measuredAt = now - load.age;
    if (!state.hasReported || measuredAt <= state.loadMeasuredAt) {
        return;
    }
    state.load = load;
    state.loadMeasuredAt = measuredAt;
    if (m_observer != nullptr) {
        m_observer->endpointReported(*slot, {}, now);
    }
}

void EndpointDirectory::applyListed(const ListedInstance &instance, Instant now)
{
    EndpointState &state = findOrCreate(instance.endpoint);
    if (!state.hasReported) {
        state.address = instance.address;
        state.zone = instance.zone;
        state.region = instance.region;
        setPoolAndModels(state, instance.pool, {});
    }
    // An endpoint that restarted under its old name is still "leaving" in a list that lags. The directory ignores that,
    // or else the restarted endpoint would stay idle. Once the list cannot lag any more, the word of the list counts:
    // this also marks an endpoint that is leaving for good but whose agent does not say so.
    const bool isStaleLeaving = state.isListedAsLeaving && state.hasReported && !state.pastIncarnations.empty()
        && now - state.firstReportAt < m_settings.listLag;
    if (!instance.isLeaving || !isStaleLeaving) {
        state.isLeavingByList = instance.isLeaving;
    }
    state.isListed = true;
    state.isListedAsLeaving = instance.isLeaving;
}

void EndpointDirectory::applyUnlisted(const EndpointId &endpoint, Instant now)
{
    const std::optional<EndpointSlot> slot = slotOf(endpoint);
    if (!slot) {
        return;
    }
    EndpointState &state = *m_states[*slot];
    state.isListed = false;
    state.isListedAsLeaving = false;
    if (status(*slot, now) == EndpointStatus::NeverReported) {
        removeEndpoint(*slot);
    }
}

void EndpointDirectory::noteConnectionLost(const EndpointId &endpoint, Instant)
{
    const std::optional<EndpointSlot> slot = slotOf(endpoint);
    if (slot) {
        m_states[*slot]->isConnectionLost = true;
    }
}

void EndpointDirectory::removeSilent(Instant now)
{
    for (EndpointSlot slot = 0; slot < m_states.size(); ++slot) {
        const EndpointState *state = m_states[slot].get();
        if (state != nullptr && state->hasReported && !state->isListed
            && now - state->lastReportAt >= m_settings.removeAfter) {
            removeEndpoint(slot);
        }
    }
}

EndpointStatus EndpointDirectory::status(EndpointSlot slot, Instant now) const
{
    const EndpointState &state = *m_states[slot];
    if (!state.hasReported) {
        return EndpointStatus::NeverReported;
    }
    if (state.isLeavingByAgent || state.isLeavingByList) {
        return EndpointStatus::Leaving;
    }
    if (state.isConnectionLost) {
        return EndpointStatus::ConnectionLost;
    }
    if (now - state.lastReportAt >= m_settings.suspectAfter) {
        return EndpointStatus::Silent;
    }
    return state.isHealthy ? EndpointStatus::Eligible : EndpointStatus::Unhealthy;
}

const EndpointState *EndpointDirectory::find(const EndpointId &endpoint) const
{
    const std::optional<EndpointSlot> slot = slotOf(endpoint);
    return slot ? m_states[*slot].get() : nullptr;
}

std::optional<EndpointSlot> EndpointDirectory::slotOf(const EndpointId &endpoint) const
{
    const auto it = m_slots.find(endpoint);
    return it == m_slots.end() ? std::nullopt : std::optional<EndpointSlot>(it->second);
}

const std::vector<EndpointSlot> &EndpointDirectory::serving(const PoolId &pool, const std::string &model) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return kNoSlots;
    }
    if (model.empty()) {
        return it->second.all;
    }
    const auto found = it->second.byModel.find(model);
    return found == it->second.byModel.end() ? it->second.withoutModels : found->second;
}

std::vector<PoolId> EndpointDirectory::pools() const
{
    std::vector<PoolId> pools;
    for (const auto &[pool, index] : m_pools) {
        pools.push_back(pool);
    }
    std::ranges::sort(pools);
    return pools;
}

EndpointState &EndpointDirectory::findOrCreate(const EndpointId &endpoint)
{
    const auto it = m_slots.find(endpoint);
    if (it != m_slots.end()) {
        return *m_states[it->second];
    }
    EndpointSlot slot = static_cast<EndpointSlot>(m_states.size());
    if (m_freeSlots.empty()) {
        m_states.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    m_states[slot] = std::make_unique<EndpointState>();
    m_states[slot]->endpoint = endpoint;
    m_states[slot]->hash = rendezvousHash(endpoint.value());
    m_slots.emplace(endpoint, slot);
    return *m_states[slot];
}

void EndpointDirectory::beginIncarnation(EndpointState &state, const EndpointReport &report, Instant now)
{
    if (state.hasReported) {
        state.pastIncarnations.push_back(state.incarnation);
        state.isLeavingByList = false;
    }
    if (state.pastIncarnations.size() > kPastIncarnationsKept) {
        state.pastIncarnations.erase(state.pastIncarnations.begin());
    }
    state.incarnation = report.incarnation;
    state.hasReported = true;
    state.firstReportAt = now;
    state.startedAtLatest = now;
    state.load = {};
    state.loadMeasuredAt = {};
    if (m_observer != nullptr) {
        m_observer->endpointStarted(m_slots.at(state.endpoint), now);
    }
}

void EndpointDirectory::storeReport(EndpointState &state, const EndpointReport &report, Instant now)
{
    state.sequence = report.sequence;
    if (report.uptime) {
        state.startedAtLatest = std::min(state.startedAtLatest, now - *report.uptime);
    }
    state.address = report.address;
    state.zone = report.zone;
    state.region = report.region;
    state.softwareVersion = report.softwareVersion;
    state.adapters = report.adapters;
    state.isLeavingByAgent = report.isLeaving;
    state.isHealthy = report.isHealthy;
    state.isConnectionLost = false;
    state.lastReportAt = now;
    state.load = report.load;
    state.loadMeasuredAt = now - report.load.age;
    setPoolAndModels(state, report.pool, report.models);
    if (m_observer != nullptr) {
        m_observer->endpointReported(m_slots.at(state.endpoint), report.cacheEvents, now);
    }
}

void EndpointDirectory::setPoolAndModels(EndpointState &state, const PoolId &pool,
                                         const std::vector<std::string> &models)
{
    const bool isNew = state.pool.isEmpty();
    if (!isNew && state.pool == pool && state.models == models) {
        return;
    }
    const PoolId before = std::exchange(state.pool, pool);
    state.models = models;
    if (!isNew && before != pool) {
        rebuildIndex(before);
    }
    rebuildIndex(pool);
}

void EndpointDirectory::rebuildIndex(const PoolId &pool)
{
    PoolIndex index;
    for (EndpointSlot slot = 0; slot < m_states.size(); ++slot) {
        const EndpointState *state = m_states[slot].get();
        if (state == nullptr || state->pool != pool) {
            continue;
        }
        index.all.push_back(slot);
        if (state->models.empty()) {
            index.withoutModels.push_back(slot);
        }
        for (const std::string &model : state->models) {
            index.byModel[model].push_back(slot);
        }
    }
    if (index.all.empty()) {
        m_pools.erase(pool);
        return;
    }
    m_pools[pool] = std::move(index);
}

void EndpointDirectory::removeEndpoint(EndpointSlot slot)
{
    const PoolId pool = m_states[slot]->pool;
    m_slots.erase(m_states[slot]->endpoint);
    m_states[slot].reset();
    m_freeSlots.push_back(slot);
    rebuildIndex(pool);
    if (m_observer != nullptr) {
        m_observer->endpointRemoved(slot);
    }
}

}
