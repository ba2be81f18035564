#pragma once

#include "serving/callallowances.h"
#include "serving/endpointregistry.h"
#include "serving/placementquery.h"

namespace RadishSwitch
{

/// Whether an endpoint may be sent a call, and if not, the reason.
enum class Admission {
    Allowed,
    /// It is ejected after recent failures. Allowed only for a call that finds no other endpoint.
    Ejected,
    /// Its entry was removed recently. Allowed only for a call that finds no other endpoint.
    Suspect,
    /// This process has reached its in-flight limit there, or pauses after a refusal.
    Full,
    /// The endpoint is cold or has announced a limit, and this process's share of its calls is used up.
    ShareUsedUp,
    /// It has asked for backoff.
    BackedOff,
    /// An earlier attempt of the call was there.
    Tried,
    /// The call may not go to its region.
    OutsideRegions,
    /// The call continues a stream that began at another software version.
    OtherVersion,
    /// Its software version is new in the pool, and no streams begin there yet.
    VersionNotSettled,
    /// It has started again, and its software version is not known: a stream that began there could not go on.
    VersionUnknown,
    /// It is leaving, its zone is closed, it was replaced, or it is gone.
    Closed,
};

/// The single place that decides whether an endpoint may be sent a call. First and further attempts, streams that
/// continue at another endpoint, and waiting calls all use it, both when an endpoint is chosen and again before the
/// call is sent.
///
/// If the usual choice had a rule of its own, the last-resort choice, made when nothing else is left, would bypass it.
class EndpointAdmission
{
public:
    EndpointAdmission(const EndpointRegistry &registry, const CallAllowances &allowances);

    Admission admission(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether the endpoint is usable and not ejected, with or without room.
    bool isHealthy(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether the endpoint may be sent such calls at all, if only after its backoff or as a last resort.
    bool isOpen(EndpointSlot slot, const PlacementQuery &query, Instant now) const;

    /// Whether a call that was placed at the endpoint may still be sent.
    bool mayStillBeSent(EndpointSlot slot, Instant now) const;

private:
    /// Whether the call may ever go to the endpoint, by the call's regions and the version of its stream.
    static bool isAllowed(const RegisteredEndpoint &endpoint, const PlacementQuery &query);
    static bool isVersionKnown(const RegisteredEndpoint &endpoint, const PlacementQuery &query);
    static bool isOfRequiredVersion(const RegisteredEndpoint &endpoint, const PlacementQuery &query);
    bool isVersionSettled(const RegisteredEndpoint &endpoint, const PlacementQuery &query, Instant now) const;
    bool isShareUsedUp(EndpointSlot slot, Instant now) const;

    const EndpointRegistry &m_registry;
    const CallAllowances &m_allowances;
};

}
