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
    /// Empty if the process has no record of the stream, or none that tells this organisation its version.
    std::optional<StreamOrigin> origin;
    /// Whether the process knows that one of the pools has several versions.
    bool hasSeveralVersions = false;
    /// The process has a record of the stream, but `origin` is empty.
    bool hasUnnamedRecord = false;
    /// How long the process has kept all records that it was sent. Zero if it does not tell.
    Duration keptFor{};
    /// How long ago streams of the pools still began at the established version only; not set if the process does not
    /// know.
    std::optional<Duration> soleVersionAge;

    bool operator==(const StreamOriginAnswer &) const = default;
};

/// Keeps origins of streams at other processes, and asks these for them.
class StreamOriginPort
{
public:
    using Callback = std::function<void(const absl::StatusOr<StreamOriginAnswer> &)>;
    using KeptCallback = std::function<void(const absl::Status &)>;

    virtual ~StreamOriginPort() = default;

    /// Sends records to a process. Whether they arrive is not reported.
    virtual void tell(const std::string &peer, const std::vector<StreamOriginRecord> &records) = 0;

    /// Sends a record to a process, and calls back once the process has it. Errors are as for `ask`.
    virtual void keep(const std::string &peer, const StreamOriginRecord &record, Duration timeout,
                      KeptCallback callback) = 0;

    /// Errors are ConnectionLost and ConnectionSilent.
    virtual void ask(const std::string &peer, const StreamOriginQuery &query, Duration timeout, Callback callback) = 0;
};

}
