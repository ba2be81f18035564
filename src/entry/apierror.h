#pragma once

#include "httpmessages.h"

#include <absl/status/status.h>

#include <string>

namespace RadishSwitch
{

/// The answer with which a caller learns of a failure: the API's usual error object, with the stable `code`, the
/// `outcome` ("not_run" or "unknown"), the request's id and, where it helps, Retry-After in seconds (rounded up) and
/// retry_after_ms.
HttpResponse errorResponse(const absl::Status &status, const std::string &requestId);

/// The same object as one event of a stream that has begun already.
std::string errorEvent(const absl::Status &status, const std::string &requestId);

}
