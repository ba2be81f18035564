#pragma once

#include "httpmessages.h"
#include "serving/callrequest.h"
#include "serving/endpointnotice.h"

#include <absl/status/statusor.h>

#include <optional>

namespace RadishSwitch
{

/// What the fleet adds to a call when it sends it to an endpoint.
struct CallDispatch {
    EndpointId endpoint;
    /// Empty for a caller without a key.
    OrganisationId organisation;
    /// How long the endpoint may take.
    Duration timeLeft{};
    /// 0 is the most urgent.
    int priority = 0;
    /// The event behind which a stream goes on.
    std::optional<std::uint64_t> lastEvent;

    bool operator==(const CallDispatch &) const = default;
};

/// What the head of an endpoint's answer says.
struct AnswerHead {
    int status = 0;
    /// The call that it answers, where it says so.
    std::optional<RequestId> call;
    /// Whether it bears the endpoint's mark.
    bool isSigned = false;
    /// The endpoint has not run the call and won't.
    bool isRefusal = false;
    /// Another endpoint has the address by now.
    bool isOtherEndpoint = false;
    /// What the endpoint says of itself.
    EndpointNotice notice;
    /// How long the endpoint keeps the connection open for more.
    std::optional<Duration> idleTimeout;

    bool operator==(const AnswerHead &) const = default;
};

/// How callers, the fleet and endpoints speak of a call in the headers of HTTP.
class CallProtocol
{
public:
    virtual ~CallProtocol() = default;

    /// InvalidRequest when the headers make no sense.
    virtual absl::StatusOr<CallRequest> readCall(const HttpRequest &request) const = 0;

    /// The id of a call, which may lack all else; empty when there is none.
    virtual RequestId callId(const HttpRequest &request) const = 0;

    /// The call as an endpoint gets it: the caller's method, target, body and own headers, without the caller's key.
    virtual HttpRequest endpointCall(const HttpRequest &request, const CallDispatch &dispatch) const = 0;

    virtual AnswerHead readAnswer(int status, const HttpHeaders &headers) const = 0;

    /// An endpoint's headers as the caller gets them.
    virtual HttpHeaders callerHeaders(const HttpHeaders &headers) const = 0;

    /// The answer to a call that failed here. A status that promises "not run" is used only when the failure says so.
    virtual HttpResponse failure(const absl::Status &status) const = 0;
};

}
