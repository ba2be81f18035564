#pragma once

#include "base/identifier.h"

namespace RadishSwitch
{

/// Where a stream began. What endpoints of different software versions write does not fit together, so that a stream
/// may continue only at an endpoint of this pool and version.
struct StreamOrigin {
    /// The caller's organisation; empty for calls without one.
    OrganisationId organisation;
    PoolId pool;
    /// Empty if it is not known, or not yet; the stream then cannot be continued.
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

/// By what the origin of a stream is known.
enum class OriginEvidence {
    /// A record that the gateway which began the stream has made.
    Record,
    /// The pool has one version.
    OnlyVersion,
    /// The pool has several versions, but a stream that began at another one than the established one would have a
    /// record.
    EstablishedVersion,
};

struct FoundStreamOrigin {
    StreamOrigin origin;
    OriginEvidence evidence = OriginEvidence::Record;

    bool operator==(const FoundStreamOrigin &) const = default;
};

/// The origin of the stream whose first event the call brought to its caller.
struct StreamOriginRecord {
    RequestId call;
    StreamOrigin origin;

    bool operator==(const StreamOriginRecord &) const = default;
};

}
