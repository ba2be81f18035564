#include "partsettings.h"

#include "peerentry.h"

namespace RadishSwitch
{

namespace
{

/// A change that a watch misses is known after its wait, the slack after it and a list; a quarter of the bound leaves
/// room for a gateway that watches and is lost besides, and for a list from a slow store.
Duration watchWait(const GatewaySettings &settings)
{
    return std::chrono::duration_cast<Duration>(settings.changeBound * settings.watchShare);
}

/// Changes that come closer together are read as one. Small against the bound, and long against the 30 ms that a large
/// configuration takes a small instance.
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
    // A change made during an outage is known in time after it. A hundred gateways that ask every 0.6 s on average
    // would make 1,500 calls of an outage of 9 s, twice.
    follower.longestBackoff = std::max(follower.longestBackoff, watchWait(settings));
    return follower;
}

ObjectFollowerSettings newsFollowerSettings()
{
    ObjectFollowerSettings follower;
    // Of a crash each gateway writes one object, and all within this.
    follower.changePause = std::chrono::milliseconds(50);
    return follower;
}

Duration relayTimeout(const GatewaySettings &settings)
{
    // It speaks after each watch of its own at the latest; the rest is for the store's answer and the way here.
    constexpr Duration kSlack = std::chrono::milliseconds(300);
    return watchWait(settings) + changePause(settings) + kSlack;
}

RetrySettings retrySettings(const GatewaySettings &settings)
{
    RetrySettings retry;
    // The rest of the bound is for what gateways have saved up, which they may all spend at once.
    constexpr double kShareOfBound = 0.6;
    retry.share = settings.retryBound * kShareOfBound;
    retry.burst = settings.retryBurst;
    // The next endpoint is another one, and its load is weighed: waiting first would only make the caller wait.
    retry.firstBackoff = Duration::zero();
    return retry;
}

CallTimes callTimes(const GatewaySettings &settings)
{
    CallTimes times;
    times.longestIdleOnce = settings.longestIdleOnce;
    return times;
}

CallGateSettings gateSettings(const GatewaySettings &settings)
{
    CallGateSettings gate;
    gate.placement = settings.placement;
    gate.ignoresPressure = settings.ignoresPressure;
    gate.allowances = settings.allowances;
    // Checked when the settings were read.
    gate.registry.zoneRegions = parseZoneRegions(settings.zoneRegions).value_or(std::map<std::string, std::string>());
    return gate;
}

HttpServerSettings callerServerSettings(RequestIntake &intake)
{
    HttpServerSettings server;
    server.intake = &intake;
    // A request that comes three seconds after the order to stop may last longer than the stop. By then connections are
    // closed, a little after the balancer has turned to others.
    server.drainGrace = std::chrono::milliseconds(300);
    return server;
}

LoadShedderSettings shedderSettings(const GatewaySettings &settings)
{
    // Later than any process runs its tasks.
    constexpr Duration kNever = std::chrono::hours(1);
    LoadShedderSettings shedding = settings.shedding;
    if (settings.takesAllCalls) {
        shedding.target = kNever;
    }
    return shedding;
}

}
