#include "routing/routecost.h"

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

double networkDelay(const EndpointState &state, const RouteQuery &query, const RoutingSettings &settings)
{
    if (state.region != query.region) {
        return seconds(settings.regionDistance);
    }
    return state.zone == query.zone ? 0 : seconds(settings.zoneDistance);
}

/// Approximates the mean of max(0, x) for a normally distributed x.
double expectedExcess(double mean, double variance)
{
    constexpr double kShape = 0.64;
    return (mean + std::sqrt(mean * mean + kShape * variance)) / 2;
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

LoadEstimate estimateLoad(const EndpointState &state, const EndpointActivity &activity, const PoolLoad &pool,
                          const RoutingSettings &settings, Instant now)
{
    const EndpointLoad &load = state.load;
    const double capacity = capacityOf(load, settings);
    const double reported = static_cast<double>(load.running) + static_cast<double>(load.queued);
    const double age = std::max(0.0, seconds(now - state.loadMeasuredAt));

    // Many processes use the same report. If they trusted an old one, all of them would send to the endpoint that was
    // idle then, and would overload it until the next report. What the report says about the runs of other processes
    // therefore fades into the pool's mean.
    const double reportWeight = std::exp2(-age / seconds(settings.loadHalfLife));
    const double others = std::max(0.0, reported - activity.inFlightWhenMeasured());
    const double othersShare = 1 - pool.ownShare();
    const double othersMean = othersShare * pool.utilisation * capacity;

    LoadEstimate estimate;
    estimate.runs = activity.inFlight() + reportWeight * others + (1 - reportWeight) * othersMean;
    estimate.utilisation = estimate.runs / capacity;
    // Other processes have started and ended runs at the endpoint since the report. Slots that were free then may be
    // taken now, which the variance accounts for.
    const double othersRuns = othersShare * std::min(pool.utilisation, 1.0) * capacity;
    const double variance = 2 * othersRuns * std::min(1.0, age / pool.runSeconds);
    const double queued = expectedExcess(estimate.runs + 1 - capacity, variance);
    estimate.seconds =
        queued * pool.runSeconds / capacity + std::min(estimate.utilisation, 1.0) * seconds(settings.fullBatchDelay);
    // Other processes start `utilisation * capacity / runSeconds` runs per second at the endpoint, and each of these
    // adds `runSeconds / capacity` seconds of queue.
    estimate.uncertaintySeconds = settings.uncertaintyFactor * othersShare * std::min(pool.utilisation, 1.0) * age;
    return estimate;
}

RouteCost estimateCost(const EndpointState &state, const EndpointActivity &activity, const LoadEstimate &load,
                       std::size_t cachedBlocks, const RouteQuery &query, const RoutingSettings &settings, Instant now)
{
    RouteCost cost;
    cost.loadSeconds = load.seconds;
    cost.uncertaintySeconds = load.uncertaintySeconds;
    cost.knownSeconds = prefillSeconds(cachedBlocks, query, settings) + networkDelay(state, query, settings);
    // An endpoint that accepts runs and never answers looks idle, because its queue is short. The time for which runs
    // have been waiting there without any progress is therefore the least that the next run has to expect.
    cost.knownSeconds += std::max(0.0, seconds(activity.stalledFor(now)) - load.seconds);
    if (isAdapterMissing(state, query.model)) {
        cost.knownSeconds += seconds(settings.adapterLoadTime);
    }
    return cost;
}

}
