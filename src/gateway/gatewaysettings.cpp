#include "gatewaysettings.h"

#include "base/failure.h"

#include <absl/strings/str_split.h>

namespace RadishSwitch
{

namespace
{

constexpr double kMaximumRetries = 10'000;
constexpr double kMinimumWatchShare = 0.01;
constexpr double kMinimumPrefillSpeed = 1;
constexpr double kMaximumPrefillSpeed = 1e9;
constexpr double kMaximumRereadFactor = 1000;
constexpr double kMaximumLateCallSeconds = 60;
constexpr double kMaximumLimit = 100'000;
constexpr int kMaximumAnswersMb = 4096;
constexpr double kMaximumLinkMbps = 100'000;
constexpr double kMinimumColdOvershoot = 0.01;
constexpr double kMaximumColdOvershoot = 100;

void addPlacementSettings(SettingsParser &parser, PlacementSettings &settings)
{
    parser.addNumber("read-tokens-per-second", settings.prefillTokensPerSecond, kMinimumPrefillSpeed,
                     kMaximumPrefillSpeed,
                     "prefill speed of endpoints in tokens per second, until it is learnt from their answers");
    parser.addNumber(
        "reread-factor", settings.rereadFactor, 0, kMaximumRereadFactor,
        "weight of a token of a shared prefix that is not in the cache of the endpoint, on top of its prefill time");
    parser.addNumber("delay-step", settings.delayStep, 0, 1,
                     "weight of a new delay in the moving average of an endpoint");
    parser.add("zone-distance", settings.zoneDistance, "latency added for an endpoint in another availability zone");
    parser.add("full-batch", settings.fullBatch,
               "latency added for an endpoint at its in-flight limit, in proportion to its calls in flight");
    parser.addNumber("least-limit", settings.minimumLimit, 1, kMaximumLimit,
                     "lower bound of the in-flight limit of an endpoint that refuses calls");
    parser.addNumber("ejected-share", settings.ejection.maximumEjectedShare, 0, 1,
                     "maximum share of a pool that may be ejected for failures; 0 for none");
    parser.addFlag("no-speed-learning", settings.hasFixedSpeed,
                   "keep the prefill speed as set instead of learning it from answers");
    parser.addFlag("no-need-placement", settings.hasNoNeedPlacement,
                   "ignore the load and speed of endpoints, also in pools whose endpoints differ in speed");
    parser.addNumber("late-call-seconds", settings.lateCallSeconds, 0, kMaximumLateCallSeconds,
                     "cost of a late call, in seconds of waiting, where endpoints are chosen by callers' needs");
    parser.addNumber(
        "misplaced-prompt-seconds", settings.misplacedPromptSeconds, 0, kMaximumLateCallSeconds,
        "cost of a prompt at an endpoint meant for shorter or longer ones, in seconds of waiting; 0 for none");
    parser.addFlag("no-affinity", settings.hasNoAffinity, "disable prefix affinity between calls and endpoints");
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
    parser.add("listen", settings.listen, "address at which calls are accepted");
    parser.add("drain-notice", settings.drainNotice, "how long calls are still accepted after the start of a drain");
    parser.add("change-bound", settings.changeBound, "maximum time until a change in the store takes effect");
    parser.add("zone-regions", settings.zoneRegions, "regions by their availability zones: \"north=east,south=east\"");
    parser.addCheck([&settings] {
        return parseZoneRegions(settings.zoneRegions).status();
    });
    parser.add("cordon-bound", settings.cordonBound,
               "maximum time until a cordoned zone receives no new calls; 0ms if the platform has no cordons");
    parser.addNumber("cold-overshoot", settings.allowances.overshoot, kMinimumColdOvershoot, kMaximumColdOvershoot,
                     "multiple of its limit that all gateways together may send to a cold endpoint");
    parser.addNumber("watch-share", settings.watchShare, kMinimumWatchShare, 1,
                     "share of the change bound after which a watch without changes is renewed");
    parser.add("longest-hold", settings.maximumAcceptDelay,
               "how long connections stay unaccepted until the first configuration is known");
    parser.add("longest-idle-once", settings.maximumIdleUnrepeatable,
               "maximum idle time of a connection for a call that cannot be repeated");
    parser.addFlag("watch-alone", settings.watchesAlone, "watch the store directly instead of through another gateway");
    parser.addFlag("ignore-homes", settings.ignoresHomes,
                   "use gateways instead of home processes as the homes of budgets");
    parser.addNumber("retry-bound", settings.retryBound, 0, 1,
                     "maximum number of retries per first attempt, over all gateways");
    parser.addNumber("retry-burst", settings.retryBurst, 0, kMaximumRetries,
                     "unused retries that a gateway may accumulate for a pool");
    parser.addFlag("take-all-calls", settings.takesAllCalls, "never refuse calls because of overload");
    parser.add("shed-target", settings.shedding.target, "queueing delay up to which every call is accepted");
    parser.addFlag("rotation-by-load", settings.rotatesByLoad,
                   "leave the load balancer's rotation by the load of this gateway and of its zone's gateways");
    parser.addNumber("link-mbps", settings.linkMbps, 0, kMaximumLinkMbps,
                     "bandwidth of the link in each direction, in Mbit/s; 0 if unknown");
    parser.addFlag("intake-budget", settings.hasIntakeBudget,
                   "refuse calls by the counted bytes of the link; only with --link-mbps from above 0 to 50");
    parser.addNumber("longest-answer-mb", settings.longestAnswerMb, 1, kMaximumAnswersMb,
                     "maximum size of an unstreamed answer, in MiB");
    parser.addNumber("held-answers-mb", settings.heldAnswersMb, 1, kMaximumAnswersMb,
                     "maximum size of all unstreamed answers and events that are held until they are complete, in MiB");
    parser.addFlag("ignore-pressure", settings.ignoresPressure,
                   "send calls to endpoints even if these already answer late");
    parser.addFlag("load-news", settings.receivesLoadNews,
                   "receive the load of endpoints and gateways from a home of the zone, and report the own load to it");
    addPlacementSettings(parser, settings.placement);
}

}
