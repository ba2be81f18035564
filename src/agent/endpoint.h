#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"
#include "requests/answerbuffer.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// One run as the endpoint is asked for it.
struct EndpointRequest {
    RequestId request;
    AttemptId attempt;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::int32_t priority = 0;
    /// How long it may take until a connection to the endpoint stands; nothing has run when that passes.
    Duration reachTimeout{};
    /// How long the answer's head and its first byte may each take.
    Duration firstByteTimeout{};
    /// How long the endpoint may be silent after that.
    Duration silenceTimeout{};

    bool operator==(const EndpointRequest &) const = default;
};

/// A run that the endpoint was asked for.
class EndpointCall
{
public:
    virtual ~EndpointCall() = default;

    /// Closes the connection, by which the endpoint learns that the answer is not wanted. Safe on any thread.
    virtual void cancel() = 0;
};

/// What becomes of a call. The callbacks come one at a time, never from inside `Endpoint::call` or `cancel`, and end
/// with `onEnd`.
struct EndpointCallbacks {
    std::function<void(AnswerHead)> onHead;
    std::function<void(std::string bytes)> onBytes;
    /// OK at the answer's end. A failure whose outcome is "not run" means that the endpoint was not reached.
    std::function<void(absl::Status)> onEnd;
};

/// A small question that is not a run.
struct EndpointQuery {
    std::string method = "GET";
    std::string target;
    std::string contentType;
    std::string body;

    bool operator==(const EndpointQuery &) const = default;
};

/// A small answer that was read whole, whatever its status.
struct EndpointDocument {
    AnswerHead head;
    std::string body;
};

/// The endpoint beside which the agent runs.
class Endpoint
{
public:
    virtual ~Endpoint() = default;

    /// Asks the endpoint for a run.
    virtual std::shared_ptr<EndpointCall> call(EndpointRequest request, EndpointCallbacks callbacks) = 0;

    /// Asks for a small document. The callback never comes from inside the call.
    virtual void fetch(EndpointQuery query, Duration timeout,
                       std::function<void(absl::StatusOr<EndpointDocument>)> callback) = 0;
};

}
