#include "serving/endpointregistry.h"

#include "base/rendezvous.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A report counts as measured after an incarnation was seen to end if its age says so by more than this: ages do not
/// include the time for which reports travel.
constexpr Duration kEndedReportMargin = std::chrono::seconds(1);

}

EndpointRegistry::EndpointRegistry(EndpointRegistrySettings settings)
    : m_settings(std::move(settings))
{
}

ListingOutcome EndpointRegistry::list(const EndpointListing &listing, Instant now)
{
    m_isKnown = true;
    const auto found = m_slots.find(listing.id);
    if (found == m_slots.end()) {
        const auto ended = m_endedIncarnations.find(listing.id);
        if (ended != m_endedIncarnations.end() && listing.startedAtMilliseconds < ended->second.startedAtMilliseconds) {
            return ListingOutcome::Outdated;
        }
        const bool wasLeaving = ended != m_endedIncarnations.end() && ended->second.isLeaving
            && listing.startedAtMilliseconds == ended->second.startedAtMilliseconds;
        at(add(listing, now)).listing.isLeaving |= wasLeaving;
        return ListingOutcome::Current;
    }
    RegisteredEndpoint &known = at(found->second);
    if (listing.startedAtMilliseconds < known.listing.startedAtMilliseconds) {
        return ListingOutcome::Outdated;
    }
    if (isAwaited(known, listing)) {
        takeAwaitedEntry(known, listing, now);
    }
    // An endpoint that runs other software was restarted, even if its entry does not give a later start time.
    if (listing.startedAtMilliseconds > known.listing.startedAtMilliseconds
        || listing.softwareVersion != known.listing.softwareVersion) {
        endIncarnation(found->second);
        add(listing, now);
        return ListingOutcome::Restarted;
    }
    // Leaving is final for an incarnation: a delayed report of an earlier state must not make the endpoint usable
    // again.
    const bool isLeaving = known.listing.isLeaving || listing.isLeaving;
    known.hasLostAddress = known.hasLostAddress && listing.revision <= known.listing.revision;
    // An unchanged entry that is read again says nothing new about when the endpoint will be warm.
    if (listing.revision == 0 || listing.revision > known.listing.revision) {
        known.coldUntil = now + listing.coldFor;
    }
    unindexAddress(found->second);
    known.listing = listing;
    known.listing.isLeaving = isLeaving;
    known.region = regionOf(listing.zone);
    known.isCordoned = m_cordons.isClosed(listing.zone);
    known.suspectUntil.reset();
    indexAddress(found->second);
    return ListingOutcome::Current;
}

bool EndpointRegistry::isAwaited(const RegisteredEndpoint &endpoint, const EndpointListing &listing)
{
    return endpoint.isAwaitingEntry
        && (!endpoint.isStartKnown || listing.startedAtMilliseconds == endpoint.listing.startedAtMilliseconds);
}

// What the incarnation has reported since it started, such as a backoff, remains valid.
void EndpointRegistry::takeAwaitedEntry(RegisteredEndpoint &endpoint, const EndpointListing &listing, Instant now)
{
    revive(endpoint, now);
    endpoint.listing.startedAtMilliseconds = listing.startedAtMilliseconds;
    endpoint.listing.softwareVersion = listing.softwareVersion;
    endpoint.isAwaitingEntry = false;
    m_versions.noteListed(listing.pool, listing.softwareVersion, now);
}

// The endpoint was ejected when it ended, and serves again.
void EndpointRegistry::revive(RegisteredEndpoint &endpoint, Instant now)
{
    if (!std::exchange(endpoint.isStartKnown, true) && endpoint.ejection.isEjected(now)) {
        endpoint.ejection = EndpointEjection();
    }
}

std::optional<EndpointSlot> EndpointRegistry::noteEnded(EndpointSlot slot, Instant now)
{
    const EndpointListing &listing = at(slot).listing;
    if (listing.startedAtMilliseconds == 0 || availability(slot, now) == EndpointAvailability::Gone
        || listing.isLeaving) {
        return std::nullopt;
    }
    const SoftwareVersion version = listing.softwareVersion;
    const EndpointSlot next = awaitNextIncarnation(slot, listing.startedAtMilliseconds + 1, now);
    at(next).isStartKnown = false;
    at(next).endedVersion = version;
    at(next).endedAt = now;
    return next;
}

std::optional<EndpointSlot> EndpointRegistry::noteStart(EndpointSlot slot, std::int64_t startedAtMilliseconds,
                                                        Instant measuredAt, Instant now)
{
    RegisteredEndpoint &it = at(slot);
    EndpointListing &listing = it.listing;
    if (listing.startedAtMilliseconds == 0 || it.isEarlierIncarnation) {
        return std::nullopt;
    }
    if (it.isStartKnown) {
        const bool isLater = startedAtMilliseconds > listing.startedAtMilliseconds;
        return isLater ? std::optional(awaitNextIncarnation(slot, startedAtMilliseconds, now)) : std::nullopt;
    }
    if (startedAtMilliseconds >= listing.startedAtMilliseconds) {
        listing.startedAtMilliseconds = startedAtMilliseconds;
        revive(it, now);
    } else if (startedAtMilliseconds + 1 == listing.startedAtMilliseconds
               && measuredAt - it.endedAt > kEndedReportMargin) {
        // The process has not ended: it only refused connections for a moment.
        listing.startedAtMilliseconds = startedAtMilliseconds;
        listing.softwareVersion = it.endedVersion;
        it.isAwaitingEntry = false;
        revive(it, now);
        m_versions.noteListed(listing.pool, listing.softwareVersion, now);
    }
    return std::nullopt;
}

// Nothing that the incarnation before was known to be applies to the next one, but for its place.
EndpointSlot EndpointRegistry::awaitNextIncarnation(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant now)
{
    EndpointListing listing = at(slot).listing;
    listing.startedAtMilliseconds = startedAtMilliseconds;
    listing.softwareVersion = SoftwareVersion();
    listing.isLeaving = false;
    listing.coldFor = Duration::zero();
    const std::optional<Instant> suspectUntil = at(slot).suspectUntil;
    const Instant unlistedAt = at(slot).unlistedAt;
    endIncarnation(slot);
    const EndpointSlot next = insert(listing, now);
    at(next).isAwaitingEntry = true;
    at(next).suspectUntil = suspectUntil;
    at(next).unlistedAt = unlistedAt;
    updateReplaced(listing.address);
    return next;
}

std::optional<EndpointSlot> EndpointRegistry::currentSlotOf(const EndpointIncarnation &incarnation) const
{
    const std::optional<EndpointSlot> slot = slotOf(incarnation.endpoint);
    const std::int64_t startedAt = incarnation.startedAtMilliseconds;
    const bool isCurrent = slot && startedAt >= at(*slot).earliestStartMilliseconds
        && startedAt <= at(*slot).listing.startedAtMilliseconds;
    return isCurrent ? slot : std::nullopt;
}

std::size_t EndpointRegistry::countAwaitingEntry() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [](const auto &endpoint) {
        return endpoint && endpoint->isAwaitingEntry && !endpoint->isEarlierIncarnation;
    }));
}

void EndpointRegistry::noteWrongEndpoint(EndpointSlot slot)
{
    at(slot).hasLostAddress = true;
    updateReplaced(at(slot).listing.address);
}

bool EndpointRegistry::noteLeaving(EndpointSlot slot)
{
    return !std::exchange(at(slot).listing.isLeaving, true);
}

void EndpointRegistry::indexAddress(EndpointSlot slot)
{
    const std::string &address = at(slot).listing.address;
    m_addresses[address].push_back(slot);
    updateReplaced(address);
}

void EndpointRegistry::unindexAddress(EndpointSlot slot)
{
    const std::string address = at(slot).listing.address;
    const auto it = m_addresses.find(address);
    if (it == m_addresses.end()) {
        return;
    }
    std::erase(it->second, slot);
    if (it->second.empty()) {
        m_addresses.erase(it);
    } else {
        updateReplaced(address);
    }
}

// After a power loss all endpoints come back under new ids at their old addresses, and their old entries expire only
// seconds later. Half of all calls went to the old ids and were refused there; those that may be sent only once failed:
// 1,120 in three seconds. Therefore the newest of the entries for an address is the valid one. Two cases defy that
// rule: a delayed entry of an endpoint that has ended, and entries written by others, whose revisions do not compare.
// They are detected when a call is answered by another endpoint (hasLostAddress).
void EndpointRegistry::updateReplaced(const std::string &address)
{
    const auto found = m_addresses.find(address);
    if (found == m_addresses.end()) {
        return;
    }
    std::uint64_t newest = 0;
    for (const EndpointSlot slot : found->second) {
        const RegisteredEndpoint &it = at(slot);
        if (!it.hasLostAddress && !it.suspectUntil) {
            newest = std::max(newest, it.listing.revision);
        }
    }
    for (const EndpointSlot slot : found->second) {
        RegisteredEndpoint &it = at(slot);
        it.isReplaced = it.hasLostAddress || it.listing.revision < newest;
    }
}

// Calls in flight at the earlier incarnation end in its slot and do not count for the new one.
void EndpointRegistry::endIncarnation(EndpointSlot slot)
{
    unindexAddress(slot);
    at(slot).isEarlierIncarnation = true;
    m_slots.erase(at(slot).listing.id);
}

EndpointSlot EndpointRegistry::add(const EndpointListing &listing, Instant now)
{
    const EndpointSlot slot = insert(listing, now);
    m_versions.noteListed(listing.pool, listing.softwareVersion, now);
    return slot;
}

EndpointSlot EndpointRegistry::insert(const EndpointListing &listing, Instant now)
{
    EndpointSlot slot = static_cast<EndpointSlot>(m_endpoints.size());
    if (m_freeSlots.empty()) {
        m_endpoints.push_back(nullptr);
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    auto endpoint = std::make_unique<RegisteredEndpoint>();
    endpoint->listing = listing;
    endpoint->earliestStartMilliseconds = listing.startedAtMilliseconds;
    endpoint->hash = rendezvousHash(listing.id.value());
    endpoint->inFlightLimit = std::max(listing.slots, 1);
    endpoint->region = regionOf(listing.zone);
    endpoint->isCordoned = m_cordons.isClosed(listing.zone);
    endpoint->coldUntil = now + listing.coldFor;
    m_endpoints[slot] = std::move(endpoint);
    m_slots.emplace(listing.id, slot);
    m_pools[listing.pool].push_back(slot);
    ++m_poolsVersion;
    indexAddress(slot);
    return slot;
}

std::string EndpointRegistry::regionOf(const std::string &zone) const
{
    const auto it = m_settings.zoneRegions.find(zone);
    return it == m_settings.zoneRegions.end() ? std::string() : it->second;
}

void EndpointRegistry::unlist(const EndpointId &endpoint, Instant now)
{
    const auto it = m_slots.find(endpoint);
    if (it == m_slots.end() || at(it->second).suspectUntil) {
        return;
    }
    RegisteredEndpoint &gone = at(it->second);
    gone.unlistedAt = now;
    gone.suspectUntil = gone.listing.isLeaving ? now : now + m_settings.unlistedGrace;
    if (isMassExpiry(gone.listing.pool, now)) {
        extendSuspicion(gone.listing.pool, now);
    }
    updateReplaced(gone.listing.address);
}

// Entries are leases. When the store was down for longer than they last, all of them expire when it comes back, and
// reappear with the endpoints' next heartbeats. Trusting the list at that moment would leave a pool without any
// endpoint.
bool EndpointRegistry::isMassExpiry(const PoolId &pool, Instant now) const
{
    if (!m_storeBackAt || now - *m_storeBackAt > m_settings.massExpiryAfterOutage) {
        return false;
    }
    const std::vector<EndpointSlot> &slots = this->pool(pool);
    const auto vanished = std::ranges::count_if(slots, [&](EndpointSlot slot) {
        const RegisteredEndpoint &it = at(slot);
        return it.suspectUntil && !it.listing.isLeaving && now - it.unlistedAt <= m_settings.massExpiryWindow;
    });
    return static_cast<double>(vanished) >= m_settings.massExpiryShare * static_cast<double>(slots.size());
}

void EndpointRegistry::extendSuspicion(const PoolId &pool, Instant now)
{
    for (const EndpointSlot slot : this->pool(pool)) {
        RegisteredEndpoint &it = at(slot);
        if (it.suspectUntil && !it.listing.isLeaving && now - it.unlistedAt <= m_settings.massExpiryWindow) {
            it.suspectUntil = it.unlistedAt + m_settings.massExpiryGrace;
        }
    }
}

std::vector<EndpointId> EndpointRegistry::replaceAll(const std::vector<EndpointListing> &listings, Instant now)
{
    const bool isFirstList = !std::exchange(m_isKnown, true);
    absl::flat_hash_set<EndpointId> listed;
    std::vector<EndpointId> reborn;
    for (const EndpointListing &listing : listings) {
        listed.insert(listing.id);
        if (list(listing, now) == ListingOutcome::Restarted) {
            reborn.push_back(listing.id);
        }
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, slot] : m_slots) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        unlist(id, now);
    }
    if (isFirstList) {
        m_versions.noteFirstListComplete();
    }
    return reborn;
}

EndpointAvailability EndpointRegistry::availability(EndpointSlot slot, Instant now) const
{
    const RegisteredEndpoint &it = at(slot);
    if (it.isEarlierIncarnation) {
        return EndpointAvailability::Gone;
    }
    if (it.listing.isLeaving) {
        return it.suspectUntil ? EndpointAvailability::Gone : EndpointAvailability::Leaving;
    }
    if (it.isReplaced) {
        return it.suspectUntil ? EndpointAvailability::Gone : EndpointAvailability::Replaced;
    }
    const bool isGone = it.suspectUntil && now >= *it.suspectUntil;
    if (it.isCordoned && !isGone) {
        return EndpointAvailability::Cordoned;
    }
    if (!it.suspectUntil) {
        return EndpointAvailability::Usable;
    }
    return !isGone ? EndpointAvailability::Suspect : EndpointAvailability::Gone;
}

std::vector<EndpointSlot> EndpointRegistry::setClosedZones(const std::vector<std::string> &zones)
{
    m_cordons.replaceAll(zones);
    return updateCordons();
}

void EndpointRegistry::closeZone(const std::string &zone)
{
    m_cordons.close(zone);
    updateCordons();
}

std::vector<EndpointSlot> EndpointRegistry::openZone(const std::string &zone)
{
    m_cordons.open(zone);
    return updateCordons();
}

std::vector<EndpointSlot> EndpointRegistry::updateCordons()
{
    std::vector<EndpointSlot> opened;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        if (!m_endpoints[slot]) {
            continue;
        }
        const bool isCordoned = m_cordons.isClosed(at(slot).listing.zone);
        if (std::exchange(at(slot).isCordoned, isCordoned) && !isCordoned) {
            opened.push_back(slot);
        }
    }
    return opened;
}

std::size_t EndpointRegistry::countCold(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [now](const auto &endpoint) {
        return endpoint && now < endpoint->coldUntil;
    }));
}

std::size_t EndpointRegistry::countLeaving(Instant now) const
{
    std::size_t count = 0;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        count += m_endpoints[slot] && availability(slot, now) == EndpointAvailability::Leaving ? 1 : 0;
    }
    return count;
}

void EndpointRegistry::setAnnouncedLimit(EndpointSlot slot, std::optional<double> callsPerSecond, Instant now)
{
    at(slot).announcedLimit = callsPerSecond;
    at(slot).announcedLimitAt = now;
}

std::size_t EndpointRegistry::countLimited(Instant now) const
{
    std::size_t count = 0;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        count += m_endpoints[slot] && isLimited(slot, now) ? 1 : 0;
    }
    return count;
}

std::size_t EndpointRegistry::countBackedOff(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [now](const auto &endpoint) {
        return endpoint && endpoint->backoff.isActive(now);
    }));
}

void EndpointRegistry::extendCold(EndpointSlot slot, Instant until)
{
    at(slot).coldUntil = std::max(at(slot).coldUntil, until);
}

const std::vector<EndpointSlot> &EndpointRegistry::pool(const PoolId &pool) const
{
    static const std::vector<EndpointSlot> kNone;
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? kNone : it->second;
}

std::optional<EndpointSlot> EndpointRegistry::slotOf(const EndpointId &endpoint) const
{
    const auto it = m_slots.find(endpoint);
    return it == m_slots.end() ? std::nullopt : std::optional(it->second);
}

const std::vector<EndpointSlot> &EndpointRegistry::slotsAt(const std::string &address) const
{
    static const std::vector<EndpointSlot> kNone;
    const auto it = m_addresses.find(address);
    return it == m_addresses.end() ? kNone : it->second;
}

// A version counts until some time after its last endpoint is gone, since its streams may still be continued.
void EndpointRegistry::noteVersions(Instant now)
{
    constexpr Duration kInterval = std::chrono::seconds(1);
    if (m_versionsNotedAt && now - *m_versionsNotedAt < kInterval) {
        return;
    }
    m_versionsNotedAt = now;
    for (const auto &endpoint : m_endpoints) {
        if (endpoint && !endpoint->isEarlierIncarnation && !endpoint->isAwaitingEntry) {
            m_versions.noteListed(endpoint->listing.pool, endpoint->listing.softwareVersion, now);
        }
    }
}

std::vector<EndpointSlot> EndpointRegistry::forgetGone(Instant now)
{
    noteVersions(now);
    std::vector<EndpointSlot> forgotten;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        if (m_endpoints[slot] && availability(slot, now) == EndpointAvailability::Gone && at(slot).inFlight == 0) {
            forgotten.push_back(slot);
        }
    }
    for (const EndpointSlot slot : forgotten) {
        std::erase(m_pools[at(slot).listing.pool], slot);
        ++m_poolsVersion;
        if (!at(slot).isEarlierIncarnation) {
            unindexAddress(slot);
            remember(at(slot).listing);
            m_slots.erase(at(slot).listing.id);
        }
        m_endpoints[slot].reset();
        m_freeSlots.push_back(slot);
    }
    return forgotten;
}

void EndpointRegistry::remember(const EndpointListing &listing)
{
    if (m_endedIncarnations.insert_or_assign(listing.id, listing).second) {
        m_endedInOrder.push_back(listing.id);
    }
    while (m_endedInOrder.size() > m_settings.rememberedIncarnations) {
        m_endedIncarnations.erase(m_endedInOrder.front());
        m_endedInOrder.pop_front();
    }
}

}
