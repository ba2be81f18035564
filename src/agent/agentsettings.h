#pragma once

#include "commonsettings.h"
#include "endpointmonitor.h"

#include <string>
#include <vector>

namespace RadishSwitch
{

/// The settings of `radishswitch-agent`.
struct AgentSettings {
    ProcessSettings process;
    FleetSettings fleet;
    /// Where the fleet reaches this agent.
    SocketAddress listen{"127.0.0.1", 7300};
    /// How the fleet is told to reach it; as `listen` when it is not given.
    SocketAddress advertise;
    SocketAddress adminListen{"127.0.0.1", 7301};
    SocketAddress endpoint;
    EndpointKind endpointKind = EndpointKind::Engine;
    /// The instance's name in the platform's list, by which the fleet joins what it hears; the endpoint's address when
    /// it is not given.
    std::string name;
    std::string pool;
    std::vector<std::string> models;
    int capacity = 0;
    std::string healthTarget = "/livez";
    Duration firstByteTimeout = std::chrono::seconds(30);
    Duration silenceTimeout = std::chrono::seconds(3);
    Duration drainTimeout = std::chrono::seconds(60);
    int answerMegabytes = 128;
};

/// Declares the settings and their checks. `settings` must outlive the parser's `parse`.
void addAgentSettings(SettingsParser &parser, AgentSettings &settings);

}
