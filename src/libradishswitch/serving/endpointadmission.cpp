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
    if (!isOfRequiredVersion(it, query)) {
        return Admission::OtherVersion;
    }
    if (!isVersionKnown(it, query)) {
        return Admission::VersionUnknown;
    }
    const EndpointAvailability availability = m_registry.availability(slot, now);
    if (!acceptsCalls(availability)) {
        return Admission::Closed;
    }
    if (!isVersionSettled(it, query, now)) {
        return Admission::VersionNotSettled;
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
    return isAllowed(it, query) && m_registry.availability(slot, now) == EndpointAvailability::Usable
        && isVersionSettled(it, query, now) && it.ejection.isAllowed(now);
}

bool EndpointAdmission::isOpen(EndpointSlot slot, const PlacementQuery &query, Instant now) const
{
    return isAllowed(m_registry.at(slot), query) && acceptsCalls(m_registry.availability(slot, now));
}

bool EndpointAdmission::mayStillBeSent(EndpointSlot slot, Instant now) const
{
    return acceptsCalls(m_registry.availability(slot, now)) && !m_registry.at(slot).backoff.isActive(now);
}

bool EndpointAdmission::isAllowed(const RegisteredEndpoint &endpoint, const PlacementQuery &query)
{
    return query.regions.allows(endpoint.region) && isOfRequiredVersion(endpoint, query)
        && isVersionKnown(endpoint, query);
}

bool EndpointAdmission::isVersionKnown(const RegisteredEndpoint &endpoint, const PlacementQuery &query)
{
    return !endpoint.isAwaitingEntry || (!query.beginsStream && !query.requiredVersion);
}

bool EndpointAdmission::isOfRequiredVersion(const RegisteredEndpoint &endpoint, const PlacementQuery &query)
{
    const std::optional<SoftwareVersion> &required = query.requiredVersion;
    return !required || (!required->isEmpty() && endpoint.listing.softwareVersion == *required);
}

bool EndpointAdmission::isVersionSettled(const RegisteredEndpoint &endpoint, const PlacementQuery &query,
                                         Instant now) const
{
    const EndpointListing &listing = endpoint.listing;
    return !query.beginsStream || m_registry.versions().mayBegin(listing.pool, listing.softwareVersion, now);
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
