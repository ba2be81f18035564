#pragma once

#include "serving/crashreport.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// The report as it is stored, in JSON.
std::string writeCrashReport(const CrashReport &report);

/// Fails with ObjectMalformed if the text can't be parsed.
absl::StatusOr<CrashReport> readCrashReport(const std::string &text);

}
