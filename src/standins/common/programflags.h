#pragma once

#include <absl/status/status.h>
#include <CLI/CLI.hpp>

#include <optional>

namespace RadishSwitch
{

/// What a program exits with when its settings are wrong.
constexpr int kBadSettingsExitCode = 2;

/// Reads the flags. Gives the exit code when the program is to end: 0 after --help, 2 for wrong flags.
std::optional<int> parseFlags(CLI::App &app, int argc, char **argv);

/// Tells people what is wrong with the settings, and gives the exit code.
int reportBadSettings(const CLI::App &app, const absl::Status &status);

}
