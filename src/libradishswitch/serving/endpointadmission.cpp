#include "serving/endpointadmission.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

bool acceptsCalls(EndpointAvailability availability)
{
    return availability == EndpointAvailability::Usable || availability == EndpointAvailability::Suspect;
}

}

EndpointAdmission::EndpointAdmission(const EndpointRegistry &registry, const CallAllowances &allowances)
    : m_registry(registry)
    , m_allowances(allowances)
{
}

Admission EndpointAdmission::admission(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    if (!query.regions.allows(it.region)) {
        return Admission::OutsideRegions;
    }
    const EndpointAvailability availability = m_registry.availability(slot, now);
    if (!acceptsCalls(availability)) {
        return Admission::Closed;
    }
    if (it.backoff.isActive(now)) {
        return Admission::BackedOff;
    }
    if (std::ranges::find(query.excluded, it.listing.id) != query.excluded.end()) {
        return Admission::Tried;
    }
    if (it.inFlight >= static_cast<int>(it.inFlightLimit) || it.pause.isActive(now)) {
        return Admission::Full;
    }
    if (isShareUsedUp(slot, now)) {
        return Admission::ShareUsedUp;
    }
    if (availability == EndpointAvailability::Suspect) {
        return Admission::Suspect;
    }
    return it.ejection.isAllowed(now) ? Admission::Allowed : Admission::Ejected;
}

bool EndpointAdmission::isHealthy(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    return query.regions.allows(it.region) && m_registry.availability(slot, now) == EndpointAvailability::Usable
        && it.ejection.isAllowed(now);
}

bool EndpointAdmission::isOpen(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    return query.regions.allows(m_registry.at(slot).region) && acceptsCalls(m_registry.availability(slot, now));
}

bool EndpointAdmission::mayStillBeSent(EndpointSlot slot, Instant now) const
{
    return acceptsCalls(m_registry.availability(slot, now)) && !m_registry.at(slot).backoff.isActive(now);
}

// A cold endpoint that is sent more calls than it can take crashes, and all its calls fail. An endpoint that announces
// a limit is overloaded.
bool EndpointAdmission::isShareUsedUp(EndpointSlot slot, Instant now) const
{
    const RegisteredEndpoint &it = m_registry.at(slot);
    const bool isLimited = m_registry.isLimited(slot, now);
    if (isLimited
        && !it.limitedCalls.isBelow(m_allowances.ownCalls(*it.announcedLimit, kAnnouncedLimitWindow, it.hash), now)) {
        return true;
    }
    return m_registry.isCold(slot, now)
        && !it.coldCalls.isBelow(m_allowances.ownColdCallsPerSecond(it.listing.pool, it.hash), now);
}

}
