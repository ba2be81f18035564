#include "apierror.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr int kMillisecondsPerSecond = 1000;
constexpr int kFirstServerErrorStatus = 500;

nlohmann::json errorObject(const absl::Status &status, const std::string &requestId)
{
    const FailureCode code = failureCode(status);
    nlohmann::json error = {
        {"message", std::string(status.message())},
        {"type", httpStatusOf(code) < kFirstServerErrorStatus ? "invalid_request_error" : "server_error"},
        {"code", std::string(failureName(code))},
        {"outcome", outcomeOf(status) == RunOutcome::NotRun ? "not_run" : "unknown"},
        {"request_id", requestId},
    };
    if (const auto retryAfter = retryAfterOf(status)) {
        error["retry_after_ms"] = retryAfter->count();
    }
    return {{"error", error}};
}

}

HttpResponse errorResponse(const absl::Status &status, const std::string &requestId)
{
    HttpResponse response;
    response.status = httpStatusOf(failureCode(status));
    response.headers.add("Content-Type", "application/json");
    response.headers.add("X-Request-Id", requestId);
    if (const auto retryAfter = retryAfterOf(status)) {
        const auto seconds = (retryAfter->count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
        response.headers.add("Retry-After", std::to_string(seconds));
    }
    response.body = errorObject(status, requestId).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

std::string errorEvent(const absl::Status &status, const std::string &requestId)
{
    return "data: " + errorObject(status, requestId).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        + "\n\n";
}

}
