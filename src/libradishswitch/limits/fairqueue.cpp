#include "limits/fairqueue.h"

#include "base/failure.h"
#include "limits/fluidbacklog.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;
// A request is admitted if its estimated wait is at most this share of the time until its deadline. In steady overload
// the queue grows until the next request is refused. Without a margin, a service rate slightly lower than measured
// would make the requests at the end of the queue miss their deadlines after waiting for nearly all of that time.
constexpr double kAdmissionMargin = 0.5;
// An admitted request is refused as soon as its remaining wait, multiplied by this factor, passes its deadline, so that
// its caller still has time to try elsewhere.
constexpr double kExpiryMargin = 1.25;
constexpr double kTypicalCostStep = 0.1;
constexpr Duration kIdleQueueRetention = std::chrono::seconds(60);
constexpr Duration kLongestWait = std::chrono::hours(1);

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

}

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{
}

absl::Status FairQueue::enqueue(const QueuedRequest &request, Instant now)
{
    advance(now);
    m_typicalCost += kTypicalCostStep * (static_cast<double>(request.cost) - m_typicalCost);
    const Duration wait = estimateWait(request, now);
    if (wait > scaled(request.deadline - now, kAdmissionMargin)) {
        return refusal(wait);
    }
    add(request, now);
    if (size() <= m_settings.length) {
        return absl::OkStatus();
    }
    const QueuedRequest victim = evictOne(now);
    if (victim.request == request.request) {
        return refusal(wait);
    }
    m_refusals.push_back({victim.request, refusal(estimateWait(victim, now))});
    return absl::OkStatus();
}

std::optional<QueuedRequest> FairQueue::next(Instant now, const PoolSlots &slots)
{
    advance(now);
    for (auto &[priority, band] : m_bands) {
        while (!band.heads.empty() && hasSlotFor(priority, slots, now)) {
            const OrganisationId organisation = band.heads.begin()->organisation;
            if (band.queues.at(organisation).requests.front().deadline < now) {
                const QueuedRequest late = take(band, organisation, 0, now);
                m_refusals.push_back({late.request, refusal(estimateWait(late, now))});
                continue;
            }
            band.queues.at(organisation).rate.advance(true, now);
            QueuedRequest request = serveFirst(band, now);
            m_rate.noteServed(static_cast<double>(request.cost));
            return request;
        }
    }
    return std::nullopt;
}

std::vector<QueueRefusal> FairQueue::expire(Instant now)
{
    advance(now);
    double costAbove = 0;
    for (auto &[priority, band] : m_bands) {
        expireBand(band, costAbove, now);
        costAbove += band.cost;
    }
    return std::exchange(m_refusals, {});
}

bool FairQueue::remove(const RequestId &request, Instant now)
{
    advance(now);
    const auto it = m_locations.find(request);
    if (it == m_locations.end()) {
        return false;
    }
    Band &band = m_bands.at(it->second.priority);
    const OrganisationId organisation = it->second.organisation;
    const std::deque<QueuedRequest> &requests = band.queues.at(organisation).requests;
    const auto found = std::ranges::find(requests, request, &QueuedRequest::request);
    take(band, organisation, static_cast<std::size_t>(found - requests.begin()), now);
    return true;
}

void FairQueue::noteActualCost(const OrganisationId &organisation, int priority, std::int64_t estimated,
                               std::int64_t actual)
{
    const auto band = m_bands.find(priority);
    if (band == m_bands.end()) {
        return;
    }
    const auto it = band->second.queues.find(organisation);
    if (it == band->second.queues.end()) {
        return;
    }
    OrganisationQueue &queue = it->second;
    const double difference = static_cast<double>(actual - estimated) / queue.share;
    queue.lastFinish += difference;
    if (queue.requests.empty()) {
        return;
    }
    band->second.heads.erase({queue.headStart, organisation});
    queue.headStart = std::max(band->second.virtualTime, queue.headStart + difference);
    band->second.heads.insert({queue.headStart, organisation});
}

void FairQueue::add(const QueuedRequest &request, Instant now)
{
    Band &band = m_bands[request.priority];
    band.lastRequest = now;
    OrganisationQueue &queue = band.queues[request.organisation];
    queue.rate.advance(!queue.requests.empty(), now);
    queue.share = std::max(request.share, 1e-3);
    if (queue.requests.empty()) {
        queue.headStart = std::max(band.virtualTime, queue.lastFinish);
        band.heads.insert({queue.headStart, request.organisation});
    }
    queue.requests.push_back(request);
    queue.cost += static_cast<double>(request.cost);
    band.cost += static_cast<double>(request.cost);
    m_locations[request.request] = {request.priority, request.organisation};
}

QueuedRequest FairQueue::take(Band &band, const OrganisationId &organisation, std::size_t index, Instant now)
{
    OrganisationQueue &queue = band.queues.at(organisation);
    queue.rate.advance(true, now);
    queue.lastUsed = now;
    QueuedRequest request = std::move(queue.requests[index]);
    queue.requests.erase(queue.requests.begin() + static_cast<std::ptrdiff_t>(index));
    queue.cost -= static_cast<double>(request.cost);
    band.cost -= static_cast<double>(request.cost);
    m_locations.erase(request.request);
    if (queue.requests.empty()) {
        band.heads.erase({queue.headStart, organisation});
    }
    return request;
}

QueuedRequest FairQueue::serveFirst(Band &band, Instant now)
{
    const Head head = *band.heads.begin();
    OrganisationQueue &queue = band.queues.at(head.organisation);
    QueuedRequest request = take(band, head.organisation, 0, now);
    band.virtualTime = std::max(band.virtualTime, head.start);
    queue.lastFinish = head.start + static_cast<double>(request.cost) / queue.share;
    queue.rate.noteServed(static_cast<double>(request.cost));
    if (!queue.requests.empty()) {
        band.heads.erase(head);
        queue.headStart = queue.lastFinish;
        band.heads.insert({queue.headStart, head.organisation});
    }
    return request;
}

QueuedRequest FairQueue::evictOne(Instant now)
{
    const auto lowest = std::find_if(m_bands.rbegin(), m_bands.rend(), [](const auto &entry) {
        return !entry.second.heads.empty();
    });
    Band &band = lowest->second;
    const auto mostBacklogged = std::ranges::max_element(band.queues, {}, [](const auto &entry) {
        return entry.second.requests.empty() ? -1 : entry.second.cost / entry.second.share;
    });
    return take(band, mostBacklogged->first, mostBacklogged->second.requests.size() - 1, now);
}

double FairQueue::costAhead(const QueuedRequest &request) const
{
    double cost = 0;
    for (const auto &[priority, band] : m_bands) {
        if (priority > request.priority) {
            cost += band.cost;
        }
    }
    const auto band = m_bands.find(request.priority);
    if (band == m_bands.end()) {
        return cost;
    }
    const auto own = band->second.queues.find(request.organisation);
    const double waiting = own == band->second.queues.end() ? 0 : own->second.cost;
    for (const auto &[organisation, queue] : band->second.queues) {
        cost += std::min(queue.cost, waiting / request.share * queue.share);
    }
    return cost;
}

Duration FairQueue::estimateWait(const QueuedRequest &request, Instant now)
{
    const Duration wait = timeToServe(m_rate, costAhead(request));
    const auto band = m_bands.find(request.priority);
    if (band == m_bands.end()) {
        return wait;
    }
    const auto it = band->second.queues.find(request.organisation);
    if (it == band->second.queues.end()) {
        return wait;
    }
    // The requests that wait now don't tell how many will arrive while this one waits and be served first because of
    // their priority or share. The rate at which the organisation's queue has been served does.
    OrganisationQueue &queue = it->second;
    queue.rate.advance(!queue.requests.empty(), now);
    // A queue of few requests is served irregularly: the number of services varies by about its square root.
    const double spread = std::sqrt(queue.cost * m_typicalCost);
    return std::max(wait, timeToServe(queue.rate, queue.cost + spread));
}

Duration FairQueue::timeToServe(const ServiceRate &measured, double cost) const
{
    const std::optional<double> rate = measured.perSecond(m_typicalCost);
    if (!rate || cost <= 0) {
        return Duration::zero();
    }
    const double wait = std::min(cost / *rate * kMicrosecondsPerSecond, static_cast<double>(kLongestWait.count()));
    return Duration(static_cast<Duration::rep>(wait));
}

void FairQueue::expireBand(Band &band, double costAbove, Instant now)
{
    FluidBacklog backlog;
    for (const auto &[organisation, queue] : band.queues) {
        backlog.add(queue.cost, queue.share);
    }
    backlog.prepare();
    for (auto &[organisation, queue] : band.queues) {
        queue.rate.advance(!queue.requests.empty(), now);
        double ahead = 0;
        for (std::size_t i = 0; i < queue.requests.size();) {
            const Duration byQueue = timeToServe(m_rate, costAbove + backlog.servedAt(ahead / queue.share));
            const Duration wait = std::max(byQueue, timeToServe(queue.rate, ahead));
            if (now + scaled(wait, kExpiryMargin) <= queue.requests[i].deadline) {
                ahead += static_cast<double>(queue.requests[i].cost);
                ++i;
                continue;
            }
            m_refusals.push_back({take(band, organisation, i, now).request, refusal(wait)});
        }
    }
    // An idle queue is kept for a while because of its measured rate, and for as long as its virtual time is ahead of
    // the band's.
    std::erase_if(band.queues, [&](const auto &entry) {
        const OrganisationQueue &queue = entry.second;
        return queue.requests.empty() && queue.lastFinish <= band.virtualTime
            && now - queue.lastUsed >= kIdleQueueRetention;
    });
}

absl::Status FairQueue::refusal(Duration wait) const
{
    const Duration bounded = std::clamp(wait, m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
    return makeFailure(FailureCode::Overloaded, "the request would wait past its deadline",
                       std::chrono::ceil<std::chrono::milliseconds>(bounded));
}

bool FairQueue::hasSlotFor(int priority, const PoolSlots &slots, Instant now) const
{
    // If low priorities occupied all slots, a request of a high priority would wait for the first of their runs to end.
    // With reserved slots it waits only for requests of its own or a higher priority.
    const bool isHigherInUse = std::ranges::any_of(m_bands, [&](const auto &entry) {
        return entry.first > priority && now - entry.second.lastRequest < m_settings.reservedFor;
    });
    const auto reserved = static_cast<std::int64_t>(m_settings.reservedShare * static_cast<double>(slots.own));
    return slots.free > (isHigherInUse ? reserved : 0);
}

void FairQueue::advance(Instant now)
{
    m_rate.advance(size() > 0, now);
}

}
