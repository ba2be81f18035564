#include "gatewaysettings.h"

#include "base/failure.h"

#include <absl/strings/str_split.h>

namespace RadishSwitch
{

namespace
{

constexpr double kMostRetries = 10'000;
constexpr double kLeastWatchShare = 0.01;
constexpr double kLeastReadingSpeed = 1;
constexpr double kMostReadingSpeed = 1e9;
constexpr double kMostRereadFactor = 1000;
constexpr double kMostLimit = 100'000;
constexpr double kLeastColdOvershoot = 0.01;
constexpr double kMostColdOvershoot = 100;

void addPlacementSettings(SettingsParser &parser, PlacementSettings &settings)
{
    parser.addNumber("read-tokens-per-second", settings.prefillTokensPerSecond, kLeastReadingSpeed, kMostReadingSpeed,
                     "speed at which an engine reads prompts, until its answers have told it");
    parser.addNumber("reread-factor", settings.rereadFactor, 0, kMostRereadFactor,
                     "what a token that another engine has read already costs beyond its time");
    parser.addNumber("delay-step", settings.delayStep, 0, 1, "weight of a new delay in an endpoint's average");
    parser.add("zone-distance", settings.zoneDistance, "added for an endpoint of another availability zone");
    parser.add("full-batch", settings.fullBatch, "added for an endpoint with all slots in use, in proportion");
    parser.addNumber("least-limit", settings.minimumLimit, 1, kMostLimit,
                     "calls that an endpoint may have under way, however often it refuses");
    parser.addNumber("ejected-share", settings.ejection.ejectedShare, 0, 1,
                     "share of a pool that may be left out for its failures; 0 for none");
    parser.addFlag("no-speed-learning", settings.hasFixedSpeed, "keep to the reading speed that is set");
    parser.addFlag("no-affinity", settings.hasNoAffinity, "do not send calls with a shared part to one endpoint");
}

}

absl::StatusOr<std::map<std::string, std::string>> parseZoneRegions(const std::string &text)
{
    std::map<std::string, std::string> regions;
    for (const absl::string_view item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> fields = absl::StrSplit(item, '=');
        if (fields.size() != 2 || fields[0].empty() || fields[1].empty()) {
            return makeFailure(FailureCode::InvalidSettings,
                               "zone-regions: \"" + std::string(item) + "\" is not ZONE=REGION");
        }
        regions[fields[0]] = fields[1];
    }
    return regions;
}

void addGatewaySettings(SettingsParser &parser, GatewaySettings &settings)
{
    addFleetSettings(parser, settings);
    parser.add("listen", settings.listen, "where callers come in");
    parser.add("drain-notice", settings.drainNotice, "how long it goes on taking calls after it was told to stop");
    parser.add("change-bound", settings.changeBound, "within this a change in the store has to be in force");
    parser.add("zone-regions", settings.zoneRegions, "regions by their availability zones: \"north=east,south=east\"");
    parser.addCheck([&settings] {
        return parseZoneRegions(settings.zoneRegions).status();
    });
    parser.add("cordon-bound", settings.cordonBound,
               "within this an order that a zone gets no new calls has to be in force; 0ms for no such orders");
    parser.addNumber("cold-overshoot", settings.allowances.overshoot, kLeastColdOvershoot, kMostColdOvershoot,
                     "times what a cold endpoint is said to bear that all gateways together may send it");
    parser.addNumber("watch-share", settings.watchShare, kLeastWatchShare, 1,
                     "share of the change bound that a watch without news waits");
    parser.add("longest-hold", settings.longestHold, "how long callers wait unread for the first configuration");
    parser.add("longest-idle-once", settings.longestIdleOnce,
               "connections for calls that can't be sent again were idle for no longer");
    parser.addFlag("watch-alone", settings.watchesAlone, "watch the store itself, and not through another gateway");
    parser.addFlag("ignore-homes", settings.ignoresHomes, "let gateways be the homes of budgets");
    parser.addNumber("retry-bound", settings.retryBound, 0, 1,
                     "further attempts that all gateways together may make for each first one");
    parser.addNumber("retry-burst", settings.retryBurst, 0, kMostRetries, "further attempts that may be saved up");
    parser.addFlag("take-all-calls", settings.takesAllCalls, "refuse no call for want of processor time");
    parser.add("shed-target", settings.shedding.target, "how late the process may run and still take every call");
    parser.addFlag("ignore-pressure", settings.ignoresPressure, "send calls also where endpoints answer late already");
    addPlacementSettings(parser, settings.placement);
}

}
