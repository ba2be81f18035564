#include "programflags.h"

#include <iostream>

namespace RadishSwitch
{

std::optional<int> parseFlags(CLI::App &app, int argc, char **argv)
{
    try {
        app.parse(argc, argv);
        return std::nullopt;
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : kBadSettingsExitCode;
    }
}

int reportBadSettings(const CLI::App &app, const absl::Status &status)
{
    std::cerr << app.get_name() << ": " << status.message() << "\n";
    return kBadSettingsExitCode;
}

}
