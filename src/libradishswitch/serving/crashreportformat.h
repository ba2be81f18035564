#pragma once

#include "serving/crashreport.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// The report as the store keeps it, in JSON.
std::string writeCrashReport(const CrashReport &report);

/// ObjectMalformed when the text can't be read.
absl::StatusOr<CrashReport> readCrashReport(const std::string &text);

}
