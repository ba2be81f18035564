#include "httperror.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string_view errorType(int httpStatus)
{
    switch (httpStatus) {
    case 401:
        return "authentication_error";
    case 402:
        return "insufficient_quota";
    case 429:
        return "rate_limit_error";
    default:
        return httpStatus < 500 ? "invalid_request_error" : "server_error";
    }
}

std::int64_t wholeSeconds(std::chrono::milliseconds span)
{
    return (span.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
}

}

std::string makeErrorBody(const absl::Status &failure)
{
    const FailureCode code = failureCode(failure);
    nlohmann::json error;
    error["code"] = failureName(code);
    error["message"] = std::string(failure.message());
    error["type"] = errorType(httpStatusOf(code));
    error["outcome"] = outcomeOf(failure) == RunOutcome::NotRun ? "not_run" : "unknown";
    if (const auto retryAfter = retryAfterOf(failure)) {
        error["retry_after_ms"] = retryAfter->count();
    }
    // A message may quote bytes of a malformed request.
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse makeErrorResponse(const absl::Status &failure)
{
    HttpResponse response;
    response.status = httpStatusOf(failureCode(failure));
    response.headers.add("Content-Type", "application/json");
    if (const auto retryAfter = retryAfterOf(failure)) {
        response.headers.add("Retry-After", std::to_string(wholeSeconds(*retryAfter)));
    }
    response.body = makeErrorBody(failure);
    return response;
}

}
