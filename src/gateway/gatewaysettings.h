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

/// Wider links have not been seen full.
constexpr double kWidestBudgetedLinkMbps = 50;

/// The settings of a gateway, given when it is started.
struct GatewaySettings : FleetSettings {
    /// The address at which the gateway accepts calls.
    SocketAddress listen{"127.0.0.1", 8080};
    /// How long a stopping gateway goes on accepting calls, so that the load balancer has time to notice that it is not
    /// ready: two readiness checks one second apart, and a third in case one is lost.
    Duration drainNotice = std::chrono::milliseconds(2500);
    /// Maximum time until a change of the configuration takes effect and a leaving endpoint receives no new calls.
    Duration changeBound = std::chrono::seconds(2);
    /// Maximum time until a cordoned zone receives no new calls; zero if the platform has no cordons.
    Duration cordonBound{};
    /// The region of each availability zone, as in "north=east,south=east".
    std::string zoneRegions;
    /// Share of the change bound after which a watch without changes is renewed at the store.
    double watchShare = 0.4;
    /// How long a starting gateway leaves connections unaccepted while its configuration is not known, so that fewer
    /// calls are refused for lack of it. A gateway mostly knows its configuration 0.4 s after a restart, and callers
    /// give up after a second.
    Duration maximumAcceptDelay = std::chrono::milliseconds(700);
    /// Maximum idle time of a connection that is used for a call which cannot be repeated.
    Duration maximumIdleUnrepeatable = std::chrono::milliseconds(1500);
    /// Each gateway watches the store itself, instead of one gateway of the zone watching it for the others.
    bool watchesAlone = false;
    /// Home processes are ignored, and gateways act as the homes of budgets.
    bool ignoresHomes = false;
    /// Maximum number of retries per first attempt, over all gateways and for each pool; and how many unused retries
    /// one gateway may accumulate for a pool.
    double retryBound = 0.2;
    double retryBurst = 6;
    PlacementSettings placement;
    AllowanceSettings allowances;
    /// Calls are never refused unread, not even while the gateway has too little processor time for them.
    bool takesAllCalls = false;
    LoadShedderSettings shedding;
    /// The gateway leaves the load balancer's rotation by its own load and that of the zone's gateways.
    bool rotatesByLoad = false;
    /// Bandwidth of the gateway's link in each direction, in Mbit/s; zero if it is unknown. Bytes are counted only if
    /// it is known.
    double linkMbps = 0;
    /// Calls are refused unread if the counted bytes of the link leave no room for them. Only for links of at most
    /// `kWidestBudgetedLinkMbps`.
    bool hasIntakeBudget = false;
    /// Maximum size of an unstreamed answer, and of all that are held at once until they are complete, in MiB.
    int longestAnswerMb = 8;
    int heldAnswersMb = 32;
    /// Calls are sent to endpoints even if these already answer late.
    bool ignoresPressure = false;
    /// Load updates of endpoints and other gateways are received from a home of the zone.
    bool receivesLoadNews = false;
};

/// Reads "north=east,south=east"; InvalidSettings for anything else.
absl::StatusOr<std::map<std::string, std::string>> parseZoneRegions(const std::string &text);

void addGatewaySettings(SettingsParser &parser, GatewaySettings &settings);

}
