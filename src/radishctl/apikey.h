#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// A fresh API key of 256 random bits from the system's source. Internal when the source fails.
absl::StatusOr<std::string> makeApiKey();

}
