#pragma once

#include "base/objectstore.h"
#include "httpmessages.h"

#include <absl/status/status.h>

namespace RadishSwitch
{

HttpResponse makeJsonResponse(std::string body);

/// An object, or the outcome of a write when `body` is empty.
HttpResponse makeVersionResponse(std::uint64_t version, std::string body);

/// The answer of lists and watches: `{"version": N, "objects": [{"key", "version", "value"}]}`.
HttpResponse makeChangesResponse(const StoreChanges &changes);

/// The answer to every call while the platform is away.
HttpResponse makeAwayResponse();

/// The statuses of the object API are those of HTTP's conditional requests.
HttpResponse makeObjectError(const absl::Status &failure);

}
