#pragma once

#include "base/timerservice.h"
#include "serving/endpointreport.h"
#include "workerpool.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Reads the report of an endpoint.
class EndpointReportReader
{
public:
    using Callback = std::function<void(absl::StatusOr<EndpointReport>)>;
    /// Given the start of the endpoint's incarnation, in Unix milliseconds.
    using StartCallback = std::function<void(absl::StatusOr<std::int64_t>)>;

    virtual ~EndpointReportReader() = default;

    /// Reads one report, and calls `callback` once, never from inside this call. Fails with ConnectionLost or
    /// ConnectionSilent if the endpoint does not answer within `timeout` or sends bytes that are no answer,
    /// EndpointFailed if it answers with a failure, MessageTooLarge if its answer is too large, and MalformedMessage if
    /// it is no usable report.
    virtual void read(Duration timeout, Callback callback) = 0;

    /// Reads which incarnation answers. As `read`, but a report that holds nothing else is usable, as that of an
    /// endpoint without a model.
    virtual void readStart(Duration timeout, StartCallback callback) = 0;
};

/// Creates the reader of the endpoint at `address`, "ip:port".
std::unique_ptr<EndpointReportReader> makeEndpointReportReader(WorkerPool &workers, std::string address);

}
