#pragma once

#include "serving/sharedprompt.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace RadishSwitch
{

/// As JSON: the ids of the parts, the pool and the organisation.
nlohmann::json writeSharedPrompt(const SharedPrompt &prompt);

/// ObjectMalformed for an invalid id of a part. Throws nlohmann::json::exception if a field is missing or has another
/// type.
absl::StatusOr<SharedPrompt> readSharedPrompt(const nlohmann::json &json);

}
