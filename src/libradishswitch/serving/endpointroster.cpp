#include "serving/endpointroster.h"

#include "base/rendezvous.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

EndpointRoster::EndpointRoster(EndpointRosterSettings settings)
    : m_settings(std::move(settings))
{
}

ListedNews EndpointRoster::list(const EndpointListing &listing, Instant now)
{
    m_isKnown = true;
    const auto found = m_slots.find(listing.id);
    if (found == m_slots.end()) {
        const auto ended = m_endedLives.find(listing.id);
        if (ended != m_endedLives.end() && listing.bornAtMilliseconds < ended->second.bornAtMilliseconds) {
            return ListedNews::Outdated;
        }
        const bool wasLeaving = ended != m_endedLives.end() && ended->second.isLeaving
            && listing.bornAtMilliseconds == ended->second.bornAtMilliseconds;
        at(add(listing, now)).listing.isLeaving |= wasLeaving;
        return ListedNews::Current;
    }
    RosterEndpoint &known = at(found->second);
    if (listing.bornAtMilliseconds < known.listing.bornAtMilliseconds) {
        return ListedNews::Outdated;
    }
    if (listing.bornAtMilliseconds > known.listing.bornAtMilliseconds) {
        endLife(found->second);
        add(listing, now);
        return ListedNews::Reborn;
    }
    // Leaving is final for one life of an endpoint: a late report of an earlier state must not bring it back.
    const bool isLeaving = known.listing.isLeaving || listing.isLeaving;
    known.isMissed = known.isMissed && listing.revision <= known.listing.revision;
    // An entry that is read again has not got any colder since.
    if (listing.revision == 0 || listing.revision > known.listing.revision) {
        known.coldUntil = now + listing.coldFor;
    }
    leaveAddress(found->second);
    known.listing = listing;
    known.listing.isLeaving = isLeaving;
    known.region = regionOf(listing.zone);
    known.isCordoned = m_cordons.isClosed(listing.zone);
    known.doubtfulUntil.reset();
    takeAddress(found->second);
    return ListedNews::Current;
}

void EndpointRoster::noteMissed(EndpointSlot slot)
{
    at(slot).isMissed = true;
    reviewAddress(at(slot).listing.address);
}

bool EndpointRoster::noteLeaving(EndpointSlot slot)
{
    return !std::exchange(at(slot).listing.isLeaving, true);
}

void EndpointRoster::takeAddress(EndpointSlot slot)
{
    const std::string &address = at(slot).listing.address;
    m_addresses[address].push_back(slot);
    reviewAddress(address);
}

void EndpointRoster::leaveAddress(EndpointSlot slot)
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
        reviewAddress(address);
    }
}

// After a loss of power all endpoints come back under new ids at their old addresses, and the old entries lapse seconds
// later. Half of all calls went to old ids, were turned away there, and failed where they may be sent but once: 1,120
// in three seconds. Of entries that name one address the newest is right, but for late news of one that has ended, and
// entries of other writers: a call that is answered by another endpoint shows these up.
void EndpointRoster::reviewAddress(const std::string &address)
{
    const auto found = m_addresses.find(address);
    if (found == m_addresses.end()) {
        return;
    }
    std::uint64_t newest = 0;
    for (const EndpointSlot slot : found->second) {
        const RosterEndpoint &it = at(slot);
        if (!it.isMissed && !it.doubtfulUntil) {
            newest = std::max(newest, it.listing.revision);
        }
    }
    for (const EndpointSlot slot : found->second) {
        RosterEndpoint &it = at(slot);
        it.isReplaced = it.isMissed || it.listing.revision < newest;
    }
}

// Calls that were under way at the earlier life end in its slot, and count for nothing in the new one.
void EndpointRoster::endLife(EndpointSlot slot)
{
    leaveAddress(slot);
    at(slot).isOfEarlierLife = true;
    m_slots.erase(at(slot).listing.id);
}

EndpointSlot EndpointRoster::add(const EndpointListing &listing, Instant now)
{
    EndpointSlot slot = static_cast<EndpointSlot>(m_endpoints.size());
    if (m_freeSlots.empty()) {
        m_endpoints.push_back(nullptr);
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    auto endpoint = std::make_unique<RosterEndpoint>();
    endpoint->listing = listing;
    endpoint->hash = rendezvousHash(listing.id.value());
    endpoint->limit = std::max(listing.slots, 1);
    endpoint->region = regionOf(listing.zone);
    endpoint->isCordoned = m_cordons.isClosed(listing.zone);
    endpoint->coldUntil = now + listing.coldFor;
    m_endpoints[slot] = std::move(endpoint);
    m_slots.emplace(listing.id, slot);
    m_pools[listing.pool].push_back(slot);
    takeAddress(slot);
    return slot;
}

std::string EndpointRoster::regionOf(const std::string &zone) const
{
    const auto it = m_settings.zoneRegions.find(zone);
    return it == m_settings.zoneRegions.end() ? std::string() : it->second;
}

void EndpointRoster::unlist(const EndpointId &endpoint, Instant now)
{
    const auto it = m_slots.find(endpoint);
    if (it == m_slots.end() || at(it->second).doubtfulUntil) {
        return;
    }
    RosterEndpoint &gone = at(it->second);
    gone.vanishedAt = now;
    gone.doubtfulUntil = gone.listing.isLeaving ? now : now + m_settings.vanishedGrace;
    if (isLapse(gone.listing.pool, now)) {
        extendDoubt(gone.listing.pool, now);
    }
    reviewAddress(gone.listing.address);
}

// The list's entries are leases: when the store was away for longer than they last, all of them vanish at its return
// and come back with the endpoints' next heartbeats. Believing the list then would leave a pool without any endpoint.
bool EndpointRoster::isLapse(const PoolId &pool, Instant now) const
{
    if (!m_storeBackAt || now - *m_storeBackAt > m_settings.lapseAfterOutage) {
        return false;
    }
    const std::vector<EndpointSlot> &slots = this->pool(pool);
    const auto vanished = std::ranges::count_if(slots, [&](EndpointSlot slot) {
        const RosterEndpoint &it = at(slot);
        return it.doubtfulUntil && !it.listing.isLeaving && now - it.vanishedAt <= m_settings.lapseWindow;
    });
    return static_cast<double>(vanished) >= m_settings.lapseShare * static_cast<double>(slots.size());
}

void EndpointRoster::extendDoubt(const PoolId &pool, Instant now)
{
    for (const EndpointSlot slot : this->pool(pool)) {
        RosterEndpoint &it = at(slot);
        if (it.doubtfulUntil && !it.listing.isLeaving && now - it.vanishedAt <= m_settings.lapseWindow) {
            it.doubtfulUntil = it.vanishedAt + m_settings.lapseGrace;
        }
    }
}

std::vector<EndpointId> EndpointRoster::replaceAll(const std::vector<EndpointListing> &listings, Instant now)
{
    m_isKnown = true;
    absl::flat_hash_set<EndpointId> listed;
    std::vector<EndpointId> reborn;
    for (const EndpointListing &listing : listings) {
        listed.insert(listing.id);
        if (list(listing, now) == ListedNews::Reborn) {
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
    return reborn;
}

RosterStanding EndpointRoster::standing(EndpointSlot slot, Instant now) const
{
    const RosterEndpoint &it = at(slot);
    if (it.isOfEarlierLife) {
        return RosterStanding::Gone;
    }
    if (it.listing.isLeaving) {
        return it.doubtfulUntil ? RosterStanding::Gone : RosterStanding::Leaving;
    }
    if (it.isReplaced) {
        return it.doubtfulUntil ? RosterStanding::Gone : RosterStanding::Replaced;
    }
    const bool isGone = it.doubtfulUntil && now >= *it.doubtfulUntil;
    if (it.isCordoned && !isGone) {
        return RosterStanding::Cordoned;
    }
    if (!it.doubtfulUntil) {
        return RosterStanding::Usable;
    }
    return !isGone ? RosterStanding::Doubtful : RosterStanding::Gone;
}

std::vector<EndpointSlot> EndpointRoster::setClosedZones(const std::vector<std::string> &zones)
{
    m_cordons.replaceAll(zones);
    return reviewCordons();
}

void EndpointRoster::closeZone(const std::string &zone)
{
    m_cordons.close(zone);
    reviewCordons();
}

std::vector<EndpointSlot> EndpointRoster::openZone(const std::string &zone)
{
    m_cordons.open(zone);
    return reviewCordons();
}

std::vector<EndpointSlot> EndpointRoster::reviewCordons()
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

std::size_t EndpointRoster::countCold(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [now](const auto &endpoint) {
        return endpoint && now < endpoint->coldUntil;
    }));
}

std::size_t EndpointRoster::countLeaving(Instant now) const
{
    std::size_t count = 0;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        count += m_endpoints[slot] && standing(slot, now) == RosterStanding::Leaving ? 1 : 0;
    }
    return count;
}

void EndpointRoster::setNamedLimit(EndpointSlot slot, std::optional<double> callsPerSecond, Instant now)
{
    at(slot).namedLimit = callsPerSecond;
    at(slot).namedLimitAt = now;
}

std::size_t EndpointRoster::countLimited(Instant now) const
{
    std::size_t count = 0;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        count += m_endpoints[slot] && isLimited(slot, now) ? 1 : 0;
    }
    return count;
}

std::size_t EndpointRoster::countBackedOff(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, [now](const auto &endpoint) {
        return endpoint && endpoint->backoff.isActive(now);
    }));
}

void EndpointRoster::extendCold(EndpointSlot slot, Instant until)
{
    at(slot).coldUntil = std::max(at(slot).coldUntil, until);
}

const std::vector<EndpointSlot> &EndpointRoster::pool(const PoolId &pool) const
{
    static const std::vector<EndpointSlot> kNone;
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? kNone : it->second;
}

std::optional<EndpointSlot> EndpointRoster::slotOf(const EndpointId &endpoint) const
{
    const auto it = m_slots.find(endpoint);
    return it == m_slots.end() ? std::nullopt : std::optional(it->second);
}

std::vector<EndpointSlot> EndpointRoster::forgetGone(Instant now)
{
    std::vector<EndpointSlot> forgotten;
    for (EndpointSlot slot = 0; slot < m_endpoints.size(); ++slot) {
        if (m_endpoints[slot] && standing(slot, now) == RosterStanding::Gone && at(slot).inFlight == 0) {
            forgotten.push_back(slot);
        }
    }
    for (const EndpointSlot slot : forgotten) {
        std::erase(m_pools[at(slot).listing.pool], slot);
        if (!at(slot).isOfEarlierLife) {
            leaveAddress(slot);
            remember(at(slot).listing);
            m_slots.erase(at(slot).listing.id);
        }
        m_endpoints[slot].reset();
        m_freeSlots.push_back(slot);
    }
    return forgotten;
}

void EndpointRoster::remember(const EndpointListing &listing)
{
    if (m_endedLives.insert_or_assign(listing.id, listing).second) {
        m_endedInOrder.push_back(listing.id);
    }
    while (m_endedInOrder.size() > m_settings.rememberedLives) {
        m_endedLives.erase(m_endedInOrder.front());
        m_endedInOrder.pop_front();
    }
}

}
