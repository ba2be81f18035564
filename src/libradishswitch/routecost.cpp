#include "routecost.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr char kAdapterSeparator = ':';

double seconds(Duration span)
{
    return static_cast<double>(span.count()) * 1e-6;
}

double speedOf(const EndpointLoad &load, const RoutingSettings &settings)
{
    return load.tokensPerSecond > 0 ? load.tokensPerSecond : settings.tokensPerSecond;
}

double tokensPerRun(const EndpointUse &use, const RoutingSettings &settings)
{
    if (use.dispatchedSinceReport() == 0) {
        return static_cast<double>(settings.tokensPerRun);
    }
    return static_cast<double>(use.tokensSinceReport()) / use.dispatchedSinceReport();
}

double distance(const EndpointState &state, const RouteQuery &query, const RoutingSettings &settings)
{
    if (state.region != query.region) {
        return seconds(settings.regionDistance);
    }
    return state.zone == query.zone ? 0 : seconds(settings.zoneDistance);
}

bool isAdapterMissing(const EndpointState &state, const std::string &model)
{
    if (model.find(kAdapterSeparator) == std::string::npos) {
        return false;
    }
    return std::ranges::find(state.adapters, model) == state.adapters.end()
        && std::ranges::find(state.models, model) == state.models.end();
}

double prefillSeconds(std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings)
{
    const double blocks = static_cast<double>(std::max<std::size_t>(query.prefixHashes.size(), 1));
    const double missing = 1 - static_cast<double>(cachedBlocks) / blocks;
    return missing * static_cast<double>(query.promptTokens) / settings.prefillTokensPerSecond;
}

}

std::uint32_t capacityOf(const EndpointLoad &load, const RoutingSettings &settings)
{
    return load.capacity > 0 ? load.capacity : settings.capacity;
}

std::string baseModelOf(const std::string &model)
{
    return model.substr(0, model.find(kAdapterSeparator));
}

double reportedQueueSeconds(const EndpointLoad &load, const RoutingSettings &settings)
{
    const auto queued = static_cast<double>(static_cast<std::int64_t>(load.queued) * settings.tokensPerRun);
    const double tokens = load.queuedTokens > 0 ? static_cast<double>(load.queuedTokens) : queued;
    return tokens / speedOf(load, settings);
}

LoadEstimate estimateLoad(const EndpointState &state, const EndpointUse &use, const PoolLoad &pool,
                          const RoutingSettings &settings, Instant now)
{
    const EndpointLoad &load = state.load;
    const double capacity = capacityOf(load, settings);
    const double reported = static_cast<double>(load.running) + static_cast<double>(load.queued);

    // Many processes read the same report. Were an old one believed, all of them would send to the endpoint that was
    // idle then, and it would be swamped until the next report; so an old one fades into the pool's mean.
    const double halfLives = seconds(now - state.loadMeasuredAt) / seconds(settings.loadHalfLife);
    const double trust = std::exp2(-std::max(0.0, halfLives));

    const double believed = trust * reported / capacity + (1 - trust) * pool.utilisation;
    const double free = std::max(0.0, 1 - believed) * capacity;
    const double queued = std::max(0.0, use.runsSinceReport() + 1 - free);
    const double queue = trust * reportedQueueSeconds(load, settings) + (1 - trust) * pool.queueSeconds;

    LoadEstimate estimate;
    estimate.utilisation = std::max(0.0, believed + use.runsSinceReport() / capacity);
    estimate.queueSeconds = queue + queued * tokensPerRun(use, settings) / speedOf(load, settings);
    return estimate;
}

double expectedFirstToken(const EndpointState &state, const EndpointUse &use, const LoadEstimate &load,
                          std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings,
                          Instant now)
{
    // An endpoint that accepts runs and never answers looks idle: its queue is short. What runs have been waiting for
    // there without any progress is the least that the next one should expect.
    double cost = std::max(load.queueSeconds, seconds(use.withoutProgress(now)));
    cost += prefillSeconds(cachedBlocks, query, settings);
    cost += std::min(load.utilisation, 1.0) * seconds(settings.fullBatch);
    cost += distance(state, query, settings);
    if (isAdapterMissing(state, query.model)) {
        cost += seconds(settings.adapterLoad);
    }
    return cost;
}

}
