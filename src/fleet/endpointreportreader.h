#pragma once

#include "base/timerservice.h"
#include "serving/endpointreport.h"
#include "workerpool.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Reads the report of the endpoint beside this process.
class EndpointReportReader
{
public:
    using Callback = std::function<void(absl::StatusOr<EndpointReport>)>;

    virtual ~EndpointReportReader() = default;

    /// Reads one report, and calls `callback` once, never from inside this call. Fails with ConnectionLost or
    /// ConnectionSilent if the endpoint does not answer within `timeout`, EndpointFailed if it answers with a failure,
    /// MessageTooLarge if its answer is too large, and MalformedMessage if it is no usable report.
    virtual void read(Duration timeout, Callback callback) = 0;
};

/// Creates the reader of the endpoint at `address`, "ip:port".
std::unique_ptr<EndpointReportReader> makeEndpointReportReader(WorkerPool &workers, std::string address);

}
