#pragma once

#include "httpmessages.h"

#include <absl/status/status.h>

namespace RadishSwitch
{

/// The answer by which a caller learns of a failure, in the form of the OpenAI-compatible API:
/// `{"error": {"code", "message", "type", "outcome"}}` with the stable name of the failure as `code` and "not_run" or
/// "unknown" as `outcome`. A failure that says when to come back gives `Retry-After` in whole seconds, rounded up,
/// and `retry_after_ms` in the body.
HttpResponse makeErrorResponse(const absl::Status &failure);

/// The body alone, for a failure inside a stream that has begun.
std::string makeErrorBody(const absl::Status &failure);

}
