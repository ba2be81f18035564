#include "partsettings.h"

#include "peerentry.h"

namespace RadishSwitch
{

namespace
{

/// Maximum wait of a watch. A change that a watch misses becomes known after this wait, its slack and a listing. A
/// quarter of the bound remains for the loss of the gateway that watches for others and for a listing by a slow store.
Duration watchWait(const GatewaySettings &settings)
{
    return std::chrono::duration_cast<Duration>(settings.changeBound * settings.watchShare);
}

/// Changes within this time are read together. It is short compared with the change bound, and long compared with the
/// 30 ms that a small instance takes to read a large configuration.
Duration changePause(const GatewaySettings &settings)
{
    return settings.changeBound / 10;
}

}

FleetStoreSettings storeSettings(const GatewaySettings &settings)
{
    FleetStoreSettings store;
    store.address = settings.platform.toString();
    store.watchWait = watchWait(settings);
    store.relaxedPrefix = kPeersPrefix;
    return store;
}

ObjectFollowerSettings followerSettings(const GatewaySettings &settings)
{
    ObjectFollowerSettings follower;
    follower.changePause = changePause(settings);
    // A change made during an outage of the store becomes known within the bound after the outage. A shorter backoff is
    // expensive: a hundred gateways that retry every 0.6 s on average make 1,500 calls during an outage of 9 s, twice.
    follower.longestBackoff = std::max(follower.longestBackoff, watchWait(settings));
    return follower;
}

ObjectFollowerSettings reportFollowerSettings(const GatewaySettings &settings)
{
    ObjectFollowerSettings follower;
    // Each gateway writes one object about a crash, and all of them do so within this time.
    follower.changePause = std::chrono::milliseconds(50);
    // A restarted gateway that did not know the latest announcements of software versions could continue streams
    // wrongly. At the fleet's first start nothing was announced before.
    follower.isFirstListRelaxed = settings.isFirstStart;
    return follower;
}

Duration relayTimeout(const GatewaySettings &settings)
{
    // The watching gateway sends a message after each of its own watches at the latest. The slack is for the answer of
    // the store and for the transfer of the message.
    constexpr Duration kSlack = std::chrono::milliseconds(300);
    return watchWait(settings) + changePause(settings) + kSlack;
}

RetrySettings retrySettings(const GatewaySettings &settings)
{
    RetrySettings retry;
    // The rest of the bound is for accumulated retries, which all gateways may spend at once.
    constexpr double kShareOfBound = 0.6;
    retry.share = settings.retryBound * kShareOfBound;
    retry.burst = settings.retryBurst;
    // A retry goes to another endpoint, chosen by its load, so that a backoff would only delay the caller.
    retry.firstBackoff = Duration::zero();
    return retry;
}

CallTimes callTimes(const GatewaySettings &settings)
{
    CallTimes times;
    times.maximumIdleUnrepeatable = settings.maximumIdleUnrepeatable;
    return times;
}

AnswerMemorySettings answerMemorySettings(const GatewaySettings &settings)
{
    constexpr std::size_t kMegabyte = 1024 * 1024;
    AnswerMemorySettings answers;
    answers.maximumAnswerBytes = static_cast<std::size_t>(settings.longestAnswerMb) * kMegabyte;
    answers.maximumTotalBytes = static_cast<std::size_t>(settings.heldAnswersMb) * kMegabyte;
    return answers;
}

CallGateSettings gateSettings(const GatewaySettings &settings)
{
    CallGateSettings gate;
    gate.placement = settings.placement;
    gate.ignoresPressure = settings.ignoresPressure;
    gate.allowances = settings.allowances;
    // The value was validated when the settings were read.
    gate.registry.zoneRegions = parseZoneRegions(settings.zoneRegions).value_or(std::map<std::string, std::string>());
    return gate;
}

LinkTraffic *countedTraffic(const GatewaySettings &settings, LinkTraffic &traffic)
{
    return settings.linkMbps > 0 ? &traffic : nullptr;
}

EndpointConnectionSettings connectionSettings(const GatewaySettings &settings, LinkTraffic &traffic)
{
    EndpointConnectionSettings connections;
    connections.traffic = countedTraffic(settings, traffic);
    return connections;
}

IntakeBudgetSettings intakeBudgetSettings(const GatewaySettings &settings)
{
    IntakeBudgetSettings budget;
    budget.megabitsPerSecond = settings.linkMbps;
    budget.isRefusing =
        settings.hasIntakeBudget && !settings.takesAllCalls && settings.linkMbps <= kWidestBudgetedLinkMbps;
    return budget;
}

HttpServerSettings callerServerSettings(const GatewaySettings &settings, RequestIntake &intake, LinkTraffic &traffic)
{
    HttpServerSettings server;
    server.intake = &intake;
    server.traffic = countedTraffic(settings, traffic);
    // Kept connections are closed shortly after the load balancer has turned to other instances. A request that arrives
    // three seconds after the start of the drain could last longer than the drain.
    server.drainGrace = std::chrono::milliseconds(300);
    return server;
}

LoadShedderSettings shedderSettings(const GatewaySettings &settings)
{
    // A queueing delay that no process reaches, which switches shedding off.
    constexpr Duration kNever = std::chrono::hours(1);
    LoadShedderSettings shedding = settings.shedding;
    if (settings.takesAllCalls) {
        shedding.target = kNever;
    }
    return shedding;
}

LoadSubscriptionSettings loadSubscriptionSettings(const GatewaySettings &settings)
{
    LoadSubscriptionSettings subscription;
    subscription.instance = settings.instance;
    subscription.zone = settings.zone;
    subscription.linkMbps = settings.linkMbps;
    return subscription;
}

RotationSettings rotationSettings(const GatewaySettings &settings)
{
    RotationSettings rotation;
    rotation.gateway = settings.instance;
    rotation.linkMbps = settings.linkMbps;
    rotation.refusingFor = settings.shedding.divertAfter;
    rotation.refusalGap = settings.shedding.overloadGap;
    rotation.firstAway = settings.shedding.divertFor;
    return rotation;
}

}
