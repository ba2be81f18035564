#include "serving/endpointloads.h"

#include "base/failure.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr double kFastHalfLifeSeconds = 1;
constexpr double kSlowHalfLifeSeconds = 20;
constexpr double kHerdHalfLifeSeconds = 0.3;

/// Reports older than this don't count for the medians of what changes quickly, unless there are no newer ones. A
/// collector drops them at the same age.
constexpr Duration kFreshFor = std::chrono::seconds(3);

/// Upper bound of one endpoint's part in the mean wait of its pool. Any call that waits so long is late, and without a
/// bound one endpoint with a long queue would determine the mean.
constexpr double kMaximumWaitInMean = 1;

constexpr Duration kMaximumTime = std::chrono::minutes(1);
constexpr int kMaximumCount = 100'000;
/// A share above 1 counts as 1: an engine may count memory that it has only promised.
constexpr double kMaximumMemoryShare = 2;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

bool isPossible(Duration span)
{
    return span >= Duration::zero() && span <= kMaximumTime;
}

bool isPossible(int count)
{
    return count >= 0 && count <= kMaximumCount;
}

/// The weight that a report still has at this age.
double weightAt(double ageSeconds, double halfLifeSeconds)
{
    return std::exp2(-std::max(ageSeconds, 0.0) / halfLifeSeconds);
}

double blend(double reported, double typical, double weight)
{
    return typical + (reported - typical) * weight;
}

double expectedWait(double reported, double mean, double ageSeconds)
{
    const double halfLife = reported < mean ? kHerdHalfLifeSeconds : kFastHalfLifeSeconds;
    return blend(reported, mean, weightAt(ageSeconds, halfLife));
}

double relativeSpeed(double idleEventSeconds, double median)
{
    if (idleEventSeconds <= 0 || median <= 0) {
        return 1;
    }
    return std::clamp(median / idleEventSeconds, EndpointLoads::kMinimumRelativeSpeed,
                      EndpointLoads::kMaximumRelativeSpeed);
}

/// The value at this share of the way through the sorted values. Reorders them.
double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
    const auto it = values.begin() + std::min(n, static_cast<std::ptrdiff_t>(values.size()) - 1);
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

constexpr double kMedian = 0.5;

}

EndpointLoads::EndpointLoads(const EndpointRegistry &registry)
    : m_registry(registry)
{
}

absl::Status EndpointLoads::check(const EndpointLoadReport &report)
{
    if (!isPossible(report.running) || !isPossible(report.waiting)) {
        return makeFailure(FailureCode::MalformedMessage, "count of runs out of range in the load of an endpoint");
    }
    if (!isPossible(report.eventInterval) || !isPossible(report.idleEventInterval) || !isPossible(report.longestPause)
        || !isPossible(report.expectedWait) || !isPossible(report.age)) {
        return makeFailure(FailureCode::MalformedMessage, "time out of range in the load of an endpoint");
    }
    // Written so that a value that is not a number fails.
    if (!(report.memoryShare >= 0 && report.memoryShare <= kMaximumMemoryShare)) {
        return makeFailure(FailureCode::MalformedMessage, "memory share out of range in the load of an endpoint");
    }
    return absl::OkStatus();
}

void EndpointLoads::setStartCallback(StartCallback callback)
{
    m_onStart = std::move(callback);
}

// The entry of an endpoint that has started again may lag behind, or fail to be written while the store is down.
void EndpointLoads::noteStart(const EndpointLoadReport &report, Instant now) const
{
    const std::vector<EndpointSlot> &slots = m_registry.slotsAt(report.address);
    const auto it = std::ranges::find_if(slots, [&](EndpointSlot slot) {
        const RegisteredEndpoint &endpoint = m_registry.at(slot);
        const bool isKnown =
            endpoint.isStartKnown && endpoint.listing.startedAtMilliseconds == report.startedAtMilliseconds;
        return !endpoint.isReplaced && !isKnown;
    });
    if (it != slots.end() && m_onStart) {
        m_onStart(*it, report.startedAtMilliseconds, now - report.age);
    }
}

// A listing without a start time is of a platform that reports none, and matches every incarnation.
absl::StatusOr<EndpointSlot> EndpointLoads::slotOf(const EndpointLoadReport &report) const
{
    const std::vector<EndpointSlot> &slots = m_registry.slotsAt(report.address);
    if (slots.empty()) {
        return makeFailure(FailureCode::NoEndpoint, "load of an endpoint that is not listed");
    }
    const auto it = std::ranges::find_if(slots, [&](EndpointSlot slot) {
        const std::int64_t startedAt = m_registry.at(slot).listing.startedAtMilliseconds;
        return startedAt == 0 || startedAt == report.startedAtMilliseconds;
    });
    if (it == slots.end()) {
        return makeFailure(FailureCode::NoEndpoint, "load of an incarnation that is not listed");
    }
    return *it;
}

absl::Status EndpointLoads::takeIn(const EndpointLoadReport &report, Instant now)
{
    if (absl::Status status = check(report); !status.ok()) {
        return status;
    }
    noteStart(report, now);
    const absl::StatusOr<EndpointSlot> slot = slotOf(report);
    if (!slot.ok()) {
        return slot.status();
    }
    if (*slot >= m_endpoints.size()) {
        m_endpoints.resize(*slot + 1);
    }
    EndpointNews &news = m_endpoints[*slot];
    if (news.isKnown && news.startedAtMilliseconds != report.startedAtMilliseconds) {
        // Possible only for a listing without a start time.
        if (report.startedAtMilliseconds < news.startedAtMilliseconds) {
            return makeFailure(FailureCode::NoEndpoint, "load of an earlier incarnation");
        }
        forget(*slot);
    }
    const Instant measuredAt = now - report.age;
    if (news.isKnown && measuredAt <= news.measuredAt) {
        return absl::OkStatus();
    }
    if (news.pool == kNoPool) {
        news.pool = poolIndex(m_registry.at(*slot).listing.pool);
    }
    news.isKnown = true;
    news.startedAtMilliseconds = report.startedAtMilliseconds;
    news.measuredAt = measuredAt;
    news.waitSeconds = seconds(report.expectedWait);
    news.pauseSeconds = seconds(report.longestPause);
    news.running = report.running;
    news.memoryShare = std::min(report.memoryShare, 1.0);
    if (report.idleEventInterval > Duration::zero()) {
        news.idleEventSeconds = seconds(report.idleEventInterval);
        news.idleMeasuredAt = measuredAt;
    }
    return absl::OkStatus();
}

EndpointLoads::PoolIndex EndpointLoads::poolIndex(const PoolId &pool)
{
    const auto [it, isNew] = m_poolIndexes.try_emplace(pool, static_cast<PoolIndex>(m_pools.size()));
    if (isNew) {
        m_pools.emplace_back().pool = pool;
    }
    return it->second;
}

std::vector<SpeedChange> EndpointLoads::update(Instant now)
{
    std::vector<SpeedChange> changes;
    for (PoolIndex index = 0; index < m_pools.size(); ++index) {
        updatePool(index, now, changes);
    }
    return changes;
}

void EndpointLoads::updatePool(PoolIndex index, Instant now, std::vector<SpeedChange> &changes)
{
    PoolNews &pool = m_pools[index];
    const std::vector<EndpointSlot> &slots = m_registry.pool(pool.pool);
    pool.newestAt = Instant::min();
    std::size_t endpoints = 0;
    for (const EndpointSlot slot : slots) {
        if (slot >= m_endpoints.size()) {
            m_endpoints.resize(slot + 1);
        }
        EndpointNews &news = m_endpoints[slot];
        news.pool = index;
        if (news.isKnown && now - news.measuredAt > kReportTtl) {
            news.isKnown = false;
        }
        if (!news.isKnown || now - news.idleMeasuredAt > kReportTtl) {
            news.idleEventSeconds = 0;
        }
        if (news.isKnown) {
            pool.newestAt = std::max(pool.newestAt, news.measuredAt);
        }
        const RegisteredEndpoint &endpoint = m_registry.at(slot);
        endpoints += endpoint.isEarlierIncarnation || endpoint.isReplaced ? 0 : 1;
    }
    updateTypical(pool, now);
    const double knownShare = updateEvenness(pool, endpoints);
    for (const EndpointSlot slot : slots) {
        updateSlow(slot, pool, knownShare, changes);
    }
}

double EndpointLoads::medianOf(const std::vector<EndpointSlot> &slots, double EndpointNews::*value, Instant notBefore)
{
    m_values.clear();
    for (const EndpointSlot slot : slots) {
        const EndpointNews &news = m_endpoints[slot];
        if (news.isKnown && news.measuredAt >= notBefore) {
            m_values.push_back(news.*value);
        }
    }
    return percentile(m_values, kMedian);
}

void EndpointLoads::updateTypical(PoolNews &pool, Instant now)
{
    const std::vector<EndpointSlot> &slots = m_registry.pool(pool.pool);
    // With no fresh report at all, those of the last moments before the updates ended still count together.
    const Instant newest = std::min(now, pool.newestAt);
    const Instant notBefore = newest == Instant::min() ? newest : newest - kFreshFor;
    pool.typical.pauseSeconds = medianOf(slots, &EndpointNews::pauseSeconds, notBefore);
    pool.typical.running = medianOf(slots, &EndpointNews::running, notBefore);
    pool.typical.memoryShare = medianOf(slots, &EndpointNews::memoryShare, notBefore);
    double waits = 0;
    for (const EndpointSlot slot : slots) {
        const EndpointNews &news = m_endpoints[slot];
        if (news.isKnown && news.measuredAt >= notBefore) {
            waits += std::min(news.waitSeconds, kMaximumWaitInMean);
        }
    }
    pool.typical.waitSeconds = m_values.empty() ? 0 : waits / static_cast<double>(m_values.size());
}

double EndpointLoads::updateEvenness(PoolNews &pool, std::size_t endpoints)
{
    m_values.clear();
    for (const EndpointSlot slot : m_registry.pool(pool.pool)) {
        if (m_endpoints[slot].idleEventSeconds > 0) {
            m_values.push_back(m_endpoints[slot].idleEventSeconds);
        }
    }
    constexpr double kLow = 0.1;
    constexpr double kHigh = 0.9;
    const double median = percentile(m_values, kMedian);
    pool.typical.idleEventSeconds = median;
    if (m_values.empty()) {
        pool.isUneven = false;
        return 0;
    }
    const double knownShare =
        static_cast<double>(m_values.size()) / static_cast<double>(std::max<std::size_t>(endpoints, 1));
    const double ratio = std::max(percentile(m_values, kHigh) / median, median / percentile(m_values, kLow));
    pool.isUneven = pool.isUneven ? ratio >= kEvenBelow && knownShare >= kKnownToStayJudged
                                  : ratio > kUnevenFrom && knownShare >= kKnownToBeJudged;
    return knownShare;
}

void EndpointLoads::updateSlow(EndpointSlot slot, const PoolNews &pool, double knownShare,
                               std::vector<SpeedChange> &changes)
{
    EndpointNews &news = m_endpoints[slot];
    const bool isJudged = knownShare >= (news.isSlow ? kKnownToStayJudged : kKnownToBeJudged);
    const double speed = isJudged ? relativeSpeed(news.idleEventSeconds, pool.typical.idleEventSeconds) : 1;
    const bool isSlow = speed < (news.isSlow ? kNotSlowFrom : kSlowBelow);
    if (std::exchange(news.isSlow, isSlow) != isSlow) {
        changes.push_back({m_registry.at(slot).listing.id, pool.pool, speed, isSlow});
    }
}

void EndpointLoads::forget(EndpointSlot slot)
{
    if (slot < m_endpoints.size()) {
        m_endpoints[slot] = EndpointNews();
    }
}

const EndpointLoads::PoolNews *EndpointLoads::poolOf(EndpointSlot slot) const
{
    if (slot < m_endpoints.size() && m_endpoints[slot].pool != kNoPool) {
        return &m_pools[m_endpoints[slot].pool];
    }
    const auto it = m_poolIndexes.find(m_registry.at(slot).listing.pool);
    return it == m_poolIndexes.end() ? nullptr : &m_pools[it->second];
}

std::optional<LoadEstimate> EndpointLoads::estimate(EndpointSlot slot, Instant now) const
{
    const PoolNews *pool = poolOf(slot);
    if (!pool || pool->newestAt == Instant::min() || now - pool->newestAt > kReportTtl) {
        return std::nullopt;
    }
    const LoadEstimate &typical = pool->typical;
    if (slot >= m_endpoints.size() || !m_endpoints[slot].isKnown) {
        return typical;
    }
    const EndpointNews &news = m_endpoints[slot];
    const double age = seconds(now - news.measuredAt);
    const double fast = weightAt(age, kFastHalfLifeSeconds);
    const double slow = weightAt(age, kSlowHalfLifeSeconds);
    LoadEstimate it;
    it.waitSeconds = expectedWait(news.waitSeconds, typical.waitSeconds, age);
    it.pauseSeconds = blend(news.pauseSeconds, typical.pauseSeconds, fast);
    it.running = blend(news.running, typical.running, fast);
    it.memoryShare = blend(news.memoryShare, typical.memoryShare, slow);
    it.idleEventSeconds = typical.idleEventSeconds;
    if (news.idleEventSeconds > 0 && typical.idleEventSeconds > 0) {
        const double believed = std::clamp(news.idleEventSeconds, typical.idleEventSeconds / kMaximumRelativeSpeed,
                                           typical.idleEventSeconds / kMinimumRelativeSpeed);
        const double weight = weightAt(seconds(now - news.idleMeasuredAt), kSlowHalfLifeSeconds);
        it.idleEventSeconds = blend(believed, typical.idleEventSeconds, weight);
        it.relativeSpeed = typical.idleEventSeconds / it.idleEventSeconds;
    }
    return it;
}

bool EndpointLoads::isUneven(const PoolId &pool) const
{
    const auto it = m_poolIndexes.find(pool);
    return it != m_poolIndexes.end() && m_pools[it->second].isUneven;
}

std::size_t EndpointLoads::knownCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_endpoints, &EndpointNews::isKnown));
}

Duration EndpointLoads::oldestAge(Instant now) const
{
    Duration oldest{};
    for (const EndpointNews &news : m_endpoints) {
        if (news.isKnown) {
            oldest = std::max(oldest, now - news.measuredAt);
        }
    }
    return oldest;
}

std::vector<PoolId> EndpointLoads::pools() const
{
    std::vector<PoolId> pools;
    for (const PoolNews &it : m_pools) {
        pools.push_back(it.pool);
    }
    return pools;
}

}
