#pragma once

#include "serving/callallowances.h"
#include "serving/endpointregistry.h"
#include "serving/placementquery.h"

namespace RadishSwitch
{

/// Whether an endpoint may be sent a call, and if not, why.
enum class Admission {
    Allowed,
    /// It has failed lately. For a call that finds nothing else.
    Ejected,
    /// Its entry has vanished lately. For a call that finds nothing else.
    Suspect,
    /// It has as many calls of this process as it may have.
    Full,
    /// This process's part of what it takes, cold or by its own word, is used up.
    ShareUsedUp,
    /// It has asked for backoff.
    BackedOff,
    /// An earlier attempt of the call was there.
    Tried,
    /// The call may not go to its region.
    OutsideRegions,
    /// It leaves, its zone is closed, or it is no more.
    Closed,
};

/// The one place that says whether an endpoint may be sent a call: first attempts, further ones, streams that go on
/// elsewhere, and calls that wait all ask here, when an endpoint is chosen and again before the call is sent.
///
/// A rule that only the usual choice knows is passed by the choice that is made when nothing else is left.
class EndpointAdmission
{
public:
    EndpointAdmission(const EndpointRegistry &registry, const CallAllowances &allowances);

    Admission admission(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether calls of the kind go there as a rule, room or not.
    bool isHealthy(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether calls of the kind may go there at all, at the latest after a backoff.
    bool isOpen(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether a call that was placed here may still be sent.
    bool mayStillBeSent(EndpointSlot slot, Instant now) const;

private:
    bool isShareUsedUp(EndpointSlot slot, Instant now) const;

    const EndpointRegistry &m_registry;
    const CallAllowances &m_allowances;
};

}
