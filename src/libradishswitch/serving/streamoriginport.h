#pragma once

#include "base/timerservice.h"
#include "serving/streamorigin.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// A question for the origin of a stream.
struct StreamOriginQuery {
    /// The call that brought the stream's first event.
    RequestId call;
    OrganisationId organisation;
    /// The pools in which the stream may have begun.
    std::vector<PoolId> pools;

    bool operator==(const StreamOriginQuery &) const = default;
};

struct StreamOriginAnswer {
    /// Empty if the process has no record of the stream, or has one for another organisation.
    std::optional<StreamOrigin> origin;
    /// Whether the process knows that one of the pools has several versions.
    bool hasSeveralVersions = false;

    bool operator==(const StreamOriginAnswer &) const = default;
};

/// Keeps origins of streams at other processes, and asks these for them.
class StreamOriginPort
{
public:
    using Callback = std::function<void(const absl::StatusOr<StreamOriginAnswer> &)>;

    virtual ~StreamOriginPort() = default;

    /// Sends records to a process. Whether they arrive is not reported.
    virtual void tell(const std::string &peer, const std::vector<StreamOriginRecord> &records) = 0;

    /// Errors are ConnectionLost and ConnectionSilent.
    virtual void ask(const std::string &peer, const StreamOriginQuery &query, Duration timeout, Callback callback) = 0;
};

}
