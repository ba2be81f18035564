#include "serving/endpointadmission.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

bool isOpenStanding(RosterStanding standing)
{
    return standing == RosterStanding::Usable || standing == RosterStanding::Doubtful;
}

}

EndpointAdmission::EndpointAdmission(const EndpointRoster &roster, const CallAllowances &allowances)
    : m_roster(roster)
    , m_allowances(allowances)
{
}

Admission EndpointAdmission::admission(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RosterEndpoint &it = m_roster.at(slot);
    if (!query.regions.allows(it.region)) {
        return Admission::OutsideRegions;
    }
    const RosterStanding standing = m_roster.standing(slot, now);
    if (!isOpenStanding(standing)) {
        return Admission::Closed;
    }
    if (it.backoff.isActive(now)) {
        return Admission::BackedOff;
    }
    if (std::ranges::find(query.excluded, it.listing.id) != query.excluded.end()) {
        return Admission::Tried;
    }
    if (it.inFlight >= static_cast<int>(it.limit) || it.pause.isActive(now)) {
        return Admission::Full;
    }
    if (isPartUsedUp(slot, now)) {
        return Admission::PartUsedUp;
    }
    if (standing == RosterStanding::Doubtful) {
        return Admission::Doubtful;
    }
    return it.ejection.isAllowed(now) ? Admission::Allowed : Admission::Ejected;
}

bool EndpointAdmission::isInUse(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RosterEndpoint &it = m_roster.at(slot);
    return query.regions.allows(it.region) && m_roster.standing(slot, now) == RosterStanding::Usable
        && it.ejection.isAllowed(now);
}

bool EndpointAdmission::isOpen(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    return query.regions.allows(m_roster.at(slot).region) && isOpenStanding(m_roster.standing(slot, now));
}

bool EndpointAdmission::mayStillBeSent(EndpointSlot slot, Instant now) const
{
    return isOpenStanding(m_roster.standing(slot, now)) && !m_roster.at(slot).backoff.isActive(now);
}

// Sent more than it bears while it is cold, an endpoint crashes, and its calls with it. One that names a limit is in
// need.
bool EndpointAdmission::isPartUsedUp(EndpointSlot slot, Instant now) const
{
    const RosterEndpoint &it = m_roster.at(slot);
    const bool isLimited = m_roster.isLimited(slot, now);
    if (isLimited && !it.limitedCalls.isBelow(m_allowances.ownCalls(*it.namedLimit, kNamedLimitSpan, it.hash), now)) {
        return true;
    }
    return m_roster.isCold(slot, now)
        && !it.coldCalls.isBelow(m_allowances.ownColdCalls(it.listing.pool, it.hash), now);
}

}
