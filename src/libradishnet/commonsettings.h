#pragma once

#include "logsettings.h"
#include "settingsparser.h"

namespace RadishSwitch
{

/// What every program of the project takes.
struct ProcessSettings {
    LogSettings log;
    /// The IP number on which the program listens, and which it tells the others.
    std::string address = "127.0.0.1";
    /// Threads that work.
    int workers = 2;

    bool operator==(const ProcessSettings &) const = default;
};

/// What the programs of a fleet take besides.
struct FleetSettings {
    static constexpr std::size_t kShortestFleetKey = 16;

    /// The platform's object API.
    SocketAddress platform;
    std::string region;
    /// The availability zone.
    std::string zone;
    /// The secret that all processes of the fleet share. Never logged.
    std::string fleetKey;

    bool operator==(const FleetSettings &) const = default;
};

/// --log-level, --log-format, --address, --workers. `settings` must outlive the parser's `parse`.
void addProcessSettings(SettingsParser &parser, ProcessSettings &settings);

/// --platform, --region, --zone, and --fleet-key or --fleet-key-file; all must be given.
void addFleetSettings(SettingsParser &parser, FleetSettings &settings);

}
