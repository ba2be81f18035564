#include "serving/loadcollector.h"

#include "base/failure.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Longest name of a process or address, and longest zone.
constexpr std::size_t kMaximumNameBytes = 128;

/// A home bounds the times that it reports to a minute.
constexpr Duration kLongestTime = std::chrono::minutes(2);

/// A process is never this many times as full as it can be.
constexpr double kMaximumFullness = 1000;
constexpr double kMaximumMbps = 10'000'000;

/// Estimated bytes of the numbers of an entry in a message.
constexpr std::size_t kEndpointNumberBytes = 38;
constexpr std::size_t kGatewayNumberBytes = 18;

absl::Status malformed(const std::string &what)
{
    return makeFailure(FailureCode::MalformedMessage, "the load report can't be true: " + what);
}

bool isName(const std::string &name)
{
    return !name.empty() && name.size() <= kMaximumNameBytes;
}

bool isTime(Duration time)
{
    return time >= Duration::zero() && time <= kLongestTime;
}

bool isWithin(double value, double highest)
{
    return std::isfinite(value) && value >= 0 && value <= highest;
}

absl::Status check(const EndpointLoadReport &report)
{
    if (!isName(report.address)) {
        return malformed("address");
    }
    if (report.startedAtMilliseconds <= 0) {
        return malformed("start of the incarnation");
    }
    if (report.running < 0 || report.waiting < 0) {
        return malformed("number of runs or requests");
    }
    const bool areTimes = isTime(report.eventInterval) && isTime(report.idleEventInterval)
        && isTime(report.longestPause) && isTime(report.expectedWait) && report.age >= Duration::zero();
    if (!areTimes) {
        return malformed("a time");
    }
    return isWithin(report.memoryShare, 1) ? absl::OkStatus() : malformed("share of memory");
}

absl::Status check(const GatewayLoadReport &report)
{
    if (!isName(report.gateway) || !isName(report.zone)) {
        return malformed("name or zone");
    }
    const bool areNumbers = isWithin(report.fullness, kMaximumFullness) && isWithin(report.linkMbps, kMaximumMbps)
        && report.age >= Duration::zero();
    return areNumbers ? absl::OkStatus() : malformed("a number");
}

template<typename Entries, typename Report>
absl::Status addReport(Entries &entries, const std::string &name, const Report &report, Instant now,
                       const LoadCollectorSettings &settings)
{
    if (const absl::Status status = check(report); !status.ok()) {
        return status;
    }
    if (report.age >= settings.maximumAge) {
        return absl::OkStatus();
    }
    const Instant measuredAt = now - report.age;
    const auto it = entries.find(name);
    if (it != entries.end()) {
        if (measuredAt > it->second.measuredAt) {
            it->second.report = report;
            it->second.measuredAt = measuredAt;
        }
        return absl::OkStatus();
    }
    if (entries.size() >= settings.maximumEntries) {
        return makeFailure(FailureCode::Overloaded, "there are too many load reports of different processes");
    }
    entries.emplace(name, typename Entries::mapped_type{report, measuredAt});
    return absl::OkStatus();
}

template<typename Entry>
auto reportAt(const Entry &entry, Instant now)
{
    auto report = entry.report;
    report.age = now - entry.measuredAt;
    return report;
}

}

LoadCollector::LoadCollector(LoadCollectorSettings settings)
    : m_settings(settings)
{
}

absl::Status LoadCollector::addEndpoint(const EndpointLoadReport &report, Instant now)
{
    const auto known = m_endpoints.find(report.address);
    const bool isOfEarlierIncarnation =
        known != m_endpoints.end() && report.startedAtMilliseconds < known->second.report.startedAtMilliseconds;
    if (isOfEarlierIncarnation) {
        return check(report);
    }
    return addReport(m_endpoints, report.address, report, now, m_settings);
}

absl::Status LoadCollector::addGateway(const GatewayLoadReport &report, Instant now)
{
    return addReport(m_gateways, report.gateway, report, now, m_settings);
}

LoadCollector::SubscriberId LoadCollector::subscribe(std::string zone)
{
    const SubscriberId id = ++m_lastSubscriber;
    m_subscribers[id].zone = std::move(zone);
    return id;
}

void LoadCollector::unsubscribe(SubscriberId id)
{
    m_subscribers.erase(id);
}

bool LoadCollector::hasTimeChanged(Duration now, Duration sent) const
{
    const Duration difference = now > sent ? now - sent : sent - now;
    const auto share = std::chrono::duration_cast<Duration>(m_settings.negligibleShare * sent);
    return difference > std::max(m_settings.negligibleTime, share);
}

bool LoadCollector::hasNumberChanged(double now, double sent) const
{
    return std::abs(now - sent) > m_settings.negligibleShare * sent;
}

bool LoadCollector::hasChanged(const EndpointLoadReport &report, const EndpointLoadReport &sent) const
{
    return report.startedAtMilliseconds != sent.startedAtMilliseconds || hasNumberChanged(report.running, sent.running)
        || hasNumberChanged(report.waiting, sent.waiting) || hasTimeChanged(report.eventInterval, sent.eventInterval)
        || hasTimeChanged(report.idleEventInterval, sent.idleEventInterval)
        || hasTimeChanged(report.longestPause, sent.longestPause)
        || hasTimeChanged(report.expectedWait, sent.expectedWait)
        || hasNumberChanged(report.memoryShare, sent.memoryShare);
}

std::vector<LoadCollector::Due> LoadCollector::dueEndpoints(const Subscriber &subscriber, Instant now) const
{
    std::vector<Due> due;
    for (const auto &[address, entry] : m_endpoints) {
        if (now - entry.measuredAt >= m_settings.maximumAge) {
            continue;
        }
        const auto sent = subscriber.sent.find(address);
        if (sent == subscriber.sent.end()) {
            due.push_back({Duration::max(), &entry});
            continue;
        }
        const Duration unsent = now - sent->second.at;
        if (unsent >= m_settings.resendInterval || hasChanged(entry.report, sent->second.report)) {
            due.push_back({unsent, &entry});
        }
    }
    const std::size_t count = std::min(due.size(), m_settings.maximumEndpoints);
    std::ranges::partial_sort(due, due.begin() + static_cast<std::ptrdiff_t>(count), [](const Due &a, const Due &b) {
        return a.unsent > b.unsent;
    });
    due.resize(count);
    return due;
}

std::size_t LoadCollector::addGatewaysOfZone(News &news, Subscriber &subscriber, Instant now) const
{
    const auto maximumBytes =
        static_cast<std::size_t>(m_settings.gatewayShare * static_cast<double>(m_settings.maximumBytes));
    std::size_t bytes = 0;
    auto it = m_gateways.lower_bound(subscriber.nextGateway);
    for (std::size_t n = 0; n < m_gateways.size(); ++n, ++it) {
        if (it == m_gateways.end()) {
            it = m_gateways.begin();
        }
        const auto &[name, entry] = *it;
        if (entry.report.zone != subscriber.zone || now - entry.measuredAt >= m_settings.maximumAge) {
            continue;
        }
        const std::size_t size = name.size() + entry.report.zone.size() + kGatewayNumberBytes;
        if (bytes + size > maximumBytes) {
            subscriber.nextGateway = name;
            return bytes;
        }
        bytes += size;
        news.gateways.push_back(reportAt(entry, now));
    }
    return bytes;
}

LoadCollector::News LoadCollector::takeNews(SubscriberId id, Instant now)
{
    News news;
    const auto it = m_subscribers.find(id);
    if (it == m_subscribers.end()) {
        return news;
    }
    Subscriber &subscriber = it->second;
    std::size_t bytes = addGatewaysOfZone(news, subscriber, now);
    for (const Due &due : dueEndpoints(subscriber, now)) {
        const EndpointLoadReport &report = due.entry->report;
        bytes += report.address.size() + kEndpointNumberBytes;
        // One endpoint is always sent, so that none is left out for ever beside a large zone.
        if (bytes > m_settings.maximumBytes && !news.endpoints.empty()) {
            break;
        }
        news.endpoints.push_back(reportAt(*due.entry, now));
        subscriber.sent[report.address] = Sent{report, now};
    }
    return news;
}

void LoadCollector::dropStale(Instant now)
{
    const auto isStale = [this, now](const auto &it) {
        return now - it.second.measuredAt >= m_settings.maximumAge;
    };
    std::erase_if(m_gateways, isStale);
    absl::erase_if(m_endpoints, isStale);
    for (auto &[id, subscriber] : m_subscribers) {
        absl::erase_if(subscriber.sent, [this](const auto &it) {
            return !m_endpoints.contains(it.first);
        });
    }
}

}
