#include "loglevelsetting.h"

namespace RadishSwitch
{

void addLogLevel(SettingsParser &parser, LogSettings &settings, const std::string &help)
{
    parser.addChoice(
        "log-level", {"debug", "info", "warning", "error", "off"},
        [&settings](std::size_t n) {
            settings.level = static_cast<LogLevel>(n);
        },
        "info", help);
}

}
