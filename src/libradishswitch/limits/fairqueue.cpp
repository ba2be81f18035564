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
// A request is let in if its wait takes up to this part of its patience. In steady overload the queue grows until the
// next request is refused; without a margin, a rate that turns out a little lower than measured would make those at the
// end of the queue miss their deadlines after they have waited for nearly all of it.
constexpr double kAdmissionMargin = 0.5;
// A request that was let in is given up when its wait, taken this much longer, passes its deadline: while its caller
// still has time to go elsewhere.
constexpr double kExpiryMargin = 1.25;
constexpr double kTypicalCostStep = 0.1;
constexpr Duration kIdleLineKept = std::chrono::seconds(60);
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
    const Duration wait = waitOf(request, now);
    if (wait > scaled(request.deadline - now, kAdmissionMargin)) {
        return refusal(wait);
    }
    add(request, now);
    if (size() <= m_settings.length) {
        return absl::OkStatus();
    }
    const QueuedRequest victim = takeLeastDeserving(now);
    if (victim.request == request.request) {
        return refusal(wait);
    }
    m_refusals.push_back({victim.request, refusal(waitOf(victim, now))});
    return absl::OkStatus();
}

std::optional<QueuedRequest> FairQueue::next(Instant now, const PoolRoom &room)
{
    advance(now);
    for (auto &[priority, band] : m_bands) {
        while (!band.heads.empty() && isRoomFor(priority, room, now)) {
            const OrganisationId organisation = band.heads.begin()->organisation;
            if (band.lines.at(organisation).requests.front().deadline < now) {
                const QueuedRequest late = take(band, organisation, 0, now);
                m_refusals.push_back({late.request, refusal(waitOf(late, now))});
                continue;
            }
            band.lines.at(organisation).rate.advance(true, now);
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
    const auto it = m_places.find(request);
    if (it == m_places.end()) {
        return false;
    }
    Band &band = m_bands.at(it->second.priority);
    const OrganisationId organisation = it->second.organisation;
    const std::deque<QueuedRequest> &requests = band.lines.at(organisation).requests;
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
    const auto it = band->second.lines.find(organisation);
    if (it == band->second.lines.end()) {
        return;
    }
    Line &line = it->second;
    const double difference = static_cast<double>(actual - estimated) / line.share;
    line.lastFinish += difference;
    if (line.requests.empty()) {
        return;
    }
    band->second.heads.erase({line.headStart, organisation});
    line.headStart = std::max(band->second.virtualTime, line.headStart + difference);
    band->second.heads.insert({line.headStart, organisation});
}

Duration FairQueue::expectedWait(const QueuedRequest &request, Instant now)
{
    advance(now);
    return waitOf(request, now);
}

void FairQueue::add(const QueuedRequest &request, Instant now)
{
    Band &band = m_bands[request.priority];
    band.lastRequest = now;
    Line &line = band.lines[request.organisation];
    line.rate.advance(!line.requests.empty(), now);
    line.share = std::max(request.share, 1e-3);
    if (line.requests.empty()) {
        line.headStart = std::max(band.virtualTime, line.lastFinish);
        band.heads.insert({line.headStart, request.organisation});
    }
    line.requests.push_back(request);
    line.cost += static_cast<double>(request.cost);
    band.cost += static_cast<double>(request.cost);
    m_places[request.request] = {request.priority, request.organisation};
}

QueuedRequest FairQueue::take(Band &band, const OrganisationId &organisation, std::size_t index, Instant now)
{
    Line &line = band.lines.at(organisation);
    line.rate.advance(true, now);
    line.lastUsed = now;
    QueuedRequest request = std::move(line.requests[index]);
    line.requests.erase(line.requests.begin() + static_cast<std::ptrdiff_t>(index));
    line.cost -= static_cast<double>(request.cost);
    band.cost -= static_cast<double>(request.cost);
    m_places.erase(request.request);
    if (line.requests.empty()) {
        band.heads.erase({line.headStart, organisation});
    }
    return request;
}

QueuedRequest FairQueue::serveFirst(Band &band, Instant now)
{
    const Head head = *band.heads.begin();
    Line &line = band.lines.at(head.organisation);
    QueuedRequest request = take(band, head.organisation, 0, now);
    band.virtualTime = std::max(band.virtualTime, head.start);
    line.lastFinish = head.start + static_cast<double>(request.cost) / line.share;
    line.rate.noteServed(static_cast<double>(request.cost));
    if (!line.requests.empty()) {
        band.heads.erase(head);
        line.headStart = line.lastFinish;
        band.heads.insert({line.headStart, head.organisation});
    }
    return request;
}

QueuedRequest FairQueue::takeLeastDeserving(Instant now)
{
    const auto lowest = std::find_if(m_bands.rbegin(), m_bands.rend(), [](const auto &entry) {
        return !entry.second.heads.empty();
    });
    Band &band = lowest->second;
    const auto greediest = std::ranges::max_element(band.lines, {}, [](const auto &entry) {
        return entry.second.requests.empty() ? -1 : entry.second.cost / entry.second.share;
    });
    return take(band, greediest->first, greediest->second.requests.size() - 1, now);
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
    const auto own = band->second.lines.find(request.organisation);
    const double waiting = own == band->second.lines.end() ? 0 : own->second.cost;
    for (const auto &[organisation, line] : band->second.lines) {
        cost += std::min(line.cost, waiting / request.share * line.share);
    }
    return cost;
}

Duration FairQueue::waitOf(const QueuedRequest &request, Instant now)
{
    const Duration wait = waitFor(m_rate, costAhead(request));
    const auto band = m_bands.find(request.priority);
    if (band == m_bands.end()) {
        return wait;
    }
    const auto it = band->second.lines.find(request.organisation);
    if (it == band->second.lines.end()) {
        return wait;
    }
    // What waits now tells nothing of what others will send while this request waits, and they go first by their
    // priority or their share. How fast the line has been moving does.
    Line &line = it->second;
    line.rate.advance(!line.requests.empty(), now);
    // A line of few requests moves by fits and starts: n services vary by about the root of n.
    const double spread = std::sqrt(line.cost * m_typicalCost);
    return std::max(wait, waitFor(line.rate, line.cost + spread));
}

Duration FairQueue::waitFor(const ServiceRate &measured, double cost) const
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
    for (const auto &[organisation, line] : band.lines) {
        backlog.add(line.cost, line.share);
    }
    backlog.prepare();
    for (auto &[organisation, line] : band.lines) {
        line.rate.advance(!line.requests.empty(), now);
        double ahead = 0;
        for (std::size_t i = 0; i < line.requests.size();) {
            const Duration byQueue = waitFor(m_rate, costAbove + backlog.servedAt(ahead / line.share));
            const Duration wait = std::max(byQueue, waitFor(line.rate, ahead));
            if (now + scaled(wait, kExpiryMargin) <= line.requests[i].deadline) {
                ahead += static_cast<double>(line.requests[i].cost);
                ++i;
                continue;
            }
            m_refusals.push_back({take(band, organisation, i, now).request, refusal(wait)});
        }
    }
    // An idle line is kept for a while for its rate, and while it is ahead of the others.
    std::erase_if(band.lines, [&](const auto &entry) {
        const Line &line = entry.second;
        return line.requests.empty() && line.lastFinish <= band.virtualTime && now - line.lastUsed >= kIdleLineKept;
    });
}

absl::Status FairQueue::refusal(Duration wait) const
{
    const Duration bounded = std::clamp(wait, m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
    return makeFailure(FailureCode::Overloaded, "the request would wait past its deadline",
                       std::chrono::ceil<std::chrono::milliseconds>(bounded));
}

bool FairQueue::isRoomFor(int priority, const PoolRoom &room, Instant now) const
{
    // When all slots are taken by low priorities, a request of a high one waits for the first of them to end. With a
    // slot in reserve it waits only for another one of its own kind.
    const bool isHigherInUse = std::ranges::any_of(m_bands, [&](const auto &entry) {
        return entry.first > priority && now - entry.second.lastRequest < m_settings.reservedFor;
    });
    const auto reserved = static_cast<std::int64_t>(m_settings.reservedShare * static_cast<double>(room.own));
    return room.free > (isHigherInUse ? reserved : 0);
}

void FairQueue::advance(Instant now)
{
    m_rate.advance(size() > 0, now);
}

}
