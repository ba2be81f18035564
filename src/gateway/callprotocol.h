#pragma once

#include "httpmessages.h"
#include "serving/callrequest.h"
#include "serving/endpointnotice.h"

#include <absl/status/statusor.h>

#include <optional>

namespace RadishSwitch
{

/// What the gateway adds to a call when it sends the call to an endpoint.
struct CallDispatch {
    EndpointId endpoint;
    /// Empty if the caller sent no API key.
    OrganisationId organisation;
    /// How long the endpoint may take to answer.
    Duration timeLeft{};
    /// 0 is the highest priority.
    int priority = 0;
    /// The last event that the caller has received of a stream, which the endpoint continues behind it.
    std::optional<std::uint64_t> lastEvent;

    bool operator==(const CallDispatch &) const = default;
};

/// The contents of the head of an endpoint's answer.
struct AnswerHead {
    int status = 0;
    /// The call that the endpoint answers, if the head names it.
    std::optional<RequestId> call;
    /// Whether the head carries the signature of the endpoint.
    bool isSigned = false;
    /// The endpoint has not run the call and will not run it.
    bool isRefusal = false;
    /// The address now belongs to an endpoint other than the expected one.
    bool isOtherEndpoint = false;
    /// What the endpoint announces about its own state: leaving, a call limit, or a backoff.
    EndpointNotice notice;
    /// How long the endpoint keeps the idle connection open for further calls, if the head says so.
    std::optional<Duration> idleTimeout;

    bool operator==(const AnswerHead &) const = default;
};

/// What the head of a request tells about the load of the call, before its body is read.
struct CallHead {
    /// Empty if the caller sent no API key.
    std::string apiKey;
    std::string host;
    /// Length of the body, if the head declares it.
    std::optional<std::int64_t> declaredLength;

    bool operator==(const CallHead &) const = default;
};

/// The HTTP headers by which callers, gateways and endpoints exchange the properties of a call.
class CallProtocol
{
public:
    virtual ~CallProtocol() = default;

    /// Reads the call from the headers; InvalidRequest if they are malformed.
    virtual absl::StatusOr<CallRequest> readCall(const HttpRequest &request) const = 0;

    /// Reads only what is needed to decide whether the body is read; nothing of it is validated.
    virtual CallHead readHead(const HttpRequest &request) const = 0;

    /// The id of a call even if its other headers are invalid; empty if there is no id.
    virtual RequestId callId(const HttpRequest &request) const = 0;

    /// The request for an endpoint: the caller's method, target, body and headers, without the caller's API key.
    virtual HttpRequest endpointCall(const HttpRequest &request, const CallDispatch &dispatch) const = 0;

    virtual AnswerHead readAnswer(int status, const HttpHeaders &headers) const = 0;

    /// The headers of an endpoint's answer that are forwarded to the caller.
    virtual HttpHeaders callerHeaders(const HttpHeaders &headers) const = 0;

    /// The answer to a call that failed at the gateway. An HTTP status that means "not run" is used only for failures
    /// that guarantee it.
    virtual HttpResponse failure(const absl::Status &status) const = 0;
};

}
