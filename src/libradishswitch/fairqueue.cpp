#include "fairqueue.h"

#include "failure.h"
#include "fluidbacklog.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;
// A request is let in if its wait takes up to this part of its patience. In steady overload the queue grows until the
// next request is refused; without a margin, a rate that turns out a little lower than measured would make those at the
// end of the queue miss their deadlines after they have waited for nearly all of it.
constexpr double kAdmissionMargin = 0.8;
// A request that was let in is given up only when it misses its deadline by a margin: the measured rate wavers.
constexpr double kExpiryMargin = 0.8;
constexpr double kTypicalCostStep = 0.1;
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
    const Duration wait = waitFor(costAhead(request));
    if (wait > scaled(request.deadline - now, kAdmissionMargin)) {
        return refusal(wait);
    }
    add(request);
    if (size() <= m_settings.length) {
        return absl::OkStatus();
    }
    const QueuedRequest victim = takeLeastDeserving();
    if (victim.request == request.request) {
        return refusal(wait);
    }
    m_refusals.push_back({victim.request, refusal(waitFor(costAhead(victim)))});
    return absl::OkStatus();
}

std::optional<QueuedRequest> FairQueue::next(Instant now)
{
    advance(now);
    for (auto &[priority, band] : m_bands) {
        while (!band.heads.empty()) {
            const OrganisationId organisation = band.heads.begin()->organisation;
            if (band.lines.at(organisation).requests.front().deadline < now) {
                const QueuedRequest late = take(band, organisation, 0);
                m_refusals.push_back({late.request, refusal(waitFor(costAhead(late)))});
                continue;
            }
            QueuedRequest request = serveFirst(band);
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
    take(band, organisation, static_cast<std::size_t>(found - requests.begin()));
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
    return waitFor(costAhead(request));
}

void FairQueue::add(const QueuedRequest &request)
{
    Band &band = m_bands[request.priority];
    Line &line = band.lines[request.organisation];
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

QueuedRequest FairQueue::take(Band &band, const OrganisationId &organisation, std::size_t index)
{
    Line &line = band.lines.at(organisation);
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

QueuedRequest FairQueue::serveFirst(Band &band)
{
    const Head head = *band.heads.begin();
    Line &line = band.lines.at(head.organisation);
    QueuedRequest request = take(band, head.organisation, 0);
    band.virtualTime = std::max(band.virtualTime, head.start);
    line.lastFinish = head.start + static_cast<double>(request.cost) / line.share;
    if (!line.requests.empty()) {
        band.heads.erase(head);
        line.headStart = line.lastFinish;
        band.heads.insert({line.headStart, head.organisation});
    }
    return request;
}

QueuedRequest FairQueue::takeLeastDeserving()
{
    const auto lowest = std::find_if(m_bands.rbegin(), m_bands.rend(), [](const auto &entry) {
        return !entry.second.heads.empty();
    });
    Band &band = lowest->second;
    const auto greediest = std::ranges::max_element(band.lines, {}, [](const auto &entry) {
        return entry.second.requests.empty() ? -1 : entry.second.cost / entry.second.share;
    });
    return take(band, greediest->first, greediest->second.requests.size() - 1);
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

Duration FairQueue::waitFor(double cost) const
{
    const std::optional<double> rate = m_rate.perSecond(m_typicalCost);
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
        double ahead = 0;
        for (std::size_t i = 0; i < line.requests.size();) {
            const Duration wait = waitFor(costAbove + backlog.servedAt(ahead / line.share));
            if (now + scaled(wait, kExpiryMargin) <= line.requests[i].deadline) {
                ahead += static_cast<double>(line.requests[i].cost);
                ++i;
                continue;
            }
            m_refusals.push_back({take(band, organisation, i).request, refusal(wait)});
        }
    }
    // What is left of an idle line only matters while it is ahead of the others.
    std::erase_if(band.lines, [&](const auto &entry) {
        return entry.second.requests.empty() && entry.second.lastFinish <= band.virtualTime;
    });
}

absl::Status FairQueue::refusal(Duration wait) const
{
    const Duration bounded = std::clamp(wait, m_settings.shortestRetryAfter, m_settings.longestRetryAfter);
    return makeFailure(FailureCode::Overloaded, "the request would wait past its deadline",
                       std::chrono::ceil<std::chrono::milliseconds>(bounded));
}

void FairQueue::advance(Instant now)
{
    m_rate.advance(size() > 0, now);
}

}
