#pragma once

#include "logsettings.h"
#include "settingsparser.h"

#include <string>

namespace RadishSwitch
{

/// --log-level, from "debug" to "off"; "info" by default. `settings` must outlive the parser's `parse`.
void addLogLevel(SettingsParser &parser, LogSettings &settings, const std::string &help);

}
