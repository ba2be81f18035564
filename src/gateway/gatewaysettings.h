#pragma once

#include "fleetsettings.h"
#include "limits/loadshedder.h"
#include "serving/callallowances.h"
#include "serving/placementsettings.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>

namespace RadishSwitch
{

/// What a gateway is told at its start.
struct GatewaySettings : FleetSettings {
    /// Where callers come in.
    SocketAddress listen{"127.0.0.1", 8080};
    /// How long a stopping gateway goes on taking calls, so that the balancer has time to see that it is not ready: two
    /// questions a second apart, and one more for one that is lost.
    Duration drainNotice = std::chrono::milliseconds(2500);
    /// Within this a change of the configuration has to be in force, and a leaving endpoint without new calls.
    Duration changeBound = std::chrono::seconds(2);
    /// Within this an order that a zone gets no new calls has to be in force; zero where no such orders are given.
    Duration cordonBound{};
    /// Regions by their availability zones: "north=east,south=east".
    std::string zoneRegions;
    /// Share of the change bound that a watch without news waits before the store is asked anew.
    double watchShare = 0.4;
    /// How long callers that come before the configuration is known wait unread. They give up after a second; a gateway
    /// mostly knows it 0.4 s after a restart. Two days of 23 and 27 gateways with a loss of power: calls refused for
    /// want of a configuration 860 and 670 without, 394 and 518 with it.
    Duration longestHold = std::chrono::milliseconds(700);
    /// Connections to be used for a call that can't be sent again were idle for no longer.
    Duration longestIdleOnce = std::chrono::milliseconds(1500);
    /// Each gateway watches the store itself, and not one of a zone for the others.
    bool watchesAlone = false;
    /// Homes beside endpoints are not asked; gateways are the homes of budgets.
    bool ignoresHomes = false;
    /// Further attempts that all gateways together may make for each first one, and how many one gateway may save up,
    /// for each pool.
    double retryBound = 0.2;
    double retryBurst = 6;
    PlacementSettings placement;
    AllowanceSettings allowances;
    /// Calls are read also while this gateway has no processor time for them, and never refused unread.
    bool takesAllCalls = false;
    LoadShedderSettings shedding;
    /// Calls are sent also where endpoints answer late already.
    bool ignoresPressure = false;
};

/// Reads "north=east,south=east"; InvalidSettings for anything else.
absl::StatusOr<std::map<std::string, std::string>> parseZoneRegions(const std::string &text);

void addGatewaySettings(SettingsParser &parser, GatewaySettings &settings);

}
