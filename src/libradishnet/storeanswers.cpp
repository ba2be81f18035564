#include "storeanswers.h"

#include "base/failure.h"
#include "retryafter.h"

namespace RadishSwitch
{

namespace
{

constexpr std::chrono::milliseconds kDefaultRetryAfter{100};

std::chrono::milliseconds retryAfter(const HttpResponse &response)
{
    const std::optional<Duration> wait = readRetryAfter(response.headers).wait;
    return wait ? std::chrono::ceil<std::chrono::milliseconds>(*wait) : kDefaultRetryAfter;
}

}

bool isStoreSuccess(const HttpResponse &response)
{
    return response.status >= 200 && response.status < 300;
}

absl::Status failureOfStoreCall(const absl::Status &status)
{
    const std::string message(status.message());
    if (outcomeOf(status) == RunOutcome::NotRun) {
        return makeFailure(FailureCode::StoreUnavailable, message);
    }
    return withUnknownOutcome(makeFailure(FailureCode::StoreTimeout, message));
}

absl::Status failureOfStoreAnswer(const HttpResponse &response, const std::string &key)
{
    const std::string message = key + ": the platform answered " + std::to_string(response.status);
    switch (response.status) {
    case 404:
        return makeFailure(FailureCode::ObjectMissing, message);
    case 409:
    case 412:
        return makeFailure(FailureCode::VersionConflict, message);
    case 410:
        return makeFailure(FailureCode::HistoryGone, message);
    case 413:
        return makeFailure(FailureCode::ObjectTooLarge, message);
    case 429:
    case 503:
        return makeFailure(FailureCode::StoreUnavailable, message, retryAfter(response));
    default:
        break;
    }
    if (response.status >= 400 && response.status < 500) {
        return makeFailure(FailureCode::InvalidRequest, message);
    }
    return withUnknownOutcome(makeFailure(FailureCode::StoreTimeout, message));
}

}
