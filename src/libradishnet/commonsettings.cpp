#include "commonsettings.h"

#include "base/failure.h"
#include "loglevelsetting.h"

#include <absl/strings/ascii.h>

#include <fstream>
#include <memory>
#include <sstream>

namespace RadishSwitch
{

namespace
{

constexpr int kMostWorkers = 256;

absl::Status readFleetKey(const std::string &fileName, std::string &fleetKey)
{
    if (fileName.empty()) {
        return absl::OkStatus();
    }
    if (!fleetKey.empty()) {
        return makeFailure(FailureCode::InvalidSettings,
                           "--fleet-key and --fleet-key-file are both given: one will do");
    }
    std::ifstream file(fileName);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return makeFailure(FailureCode::InvalidSettings,
                           "--fleet-key-file: '" + fileName + "' can't be read or is empty");
    }
    fleetKey = std::string(absl::StripAsciiWhitespace(text.str()));
    return absl::OkStatus();
}

absl::Status checkFleetKey(const std::string &fleetKey)
{
    if (fleetKey.size() >= FleetSettings::kShortestFleetKey) {
        return absl::OkStatus();
    }
    // The value itself stays out of the message: it is a secret.
    return makeFailure(FailureCode::InvalidSettings,
                       "--fleet-key (RADISHSWITCH_FLEET_KEY): a secret of at least "
                           + std::to_string(FleetSettings::kShortestFleetKey) + " characters is needed, "
                           + std::to_string(fleetKey.size()) + " were given");
}

}

void addProcessSettings(SettingsParser &parser, ProcessSettings &settings)
{
    addLogLevel(parser, settings.log, "The least severe log line that is written");
    parser.addChoice(
        "log-format", {"text", "json"},
        [&settings](std::size_t n) {
            settings.log.format = static_cast<LogFormat>(n);
        },
        "text", "How log lines are written to standard error");
    parser.add("address", settings.address, "IP number on which to listen, and to tell the others");
    parser.addNumber("workers", settings.workers, 1, kMostWorkers, "Threads that work");
    parser.addCheck([&settings] {
        if (checkIpNumber(settings.address).ok()) {
            return absl::OkStatus();
        }
        return makeFailure(FailureCode::InvalidSettings,
                           "--address (RADISHSWITCH_ADDRESS): '" + settings.address
                               + "' isn't an IP number, such as 10.0.0.7");
    });
}

void addFleetSettings(SettingsParser &parser, FleetSettings &settings)
{
    const auto fileName = std::make_shared<std::string>();
    parser.add("platform", settings.platform, "The platform's object API");
    parser.add("region", settings.region, "The region in which the process runs");
    parser.add("zone", settings.zone, "The availability zone in which the process runs");
    parser.add("fleet-key", settings.fleetKey, "The secret that all processes of the fleet share");
    parser.add("fleet-key-file", *fileName, "A file that holds the secret, in place of --fleet-key");
    parser.require("platform");
    parser.require("region");
    parser.require("zone");
    parser.addCheck([&settings, fileName] {
        const absl::Status status = readFleetKey(*fileName, settings.fleetKey);
        return status.ok() ? checkFleetKey(settings.fleetKey) : status;
    });
}

}
