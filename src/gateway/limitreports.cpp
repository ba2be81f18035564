#include "limitreports.h"

#include "base/boundedtext.h"
#include "base/failure.h"
#include "log.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace RadishSwitch
{

namespace
{

const Log kLog("limits");

constexpr char kLimitField[] = "calls_per_second";
/// A random value that makes each write a change of the object, which tells the other gateways that the limit still
/// applies.
constexpr char kNonceField[] = "writing";

/// Smaller relative changes of a limit are not worth a write to the store.
constexpr double kMinimumRelativeChange = 0.2;
/// Random delay up to this before a write, so that gateways which see a limit at the same time do not all write it.
constexpr Duration kPublishSpread = std::chrono::milliseconds(100);
/// A limit that still applies is rewritten at this interval, which is shorter than the time until it expires.
constexpr Duration kRepublishInterval = kAnnouncedLimitTtl / 3;

std::string keyOf(const EndpointId &endpoint)
{
    return kLimitPrefix + endpoint.value();
}

EndpointId endpointOf(const std::string &key)
{
    return EndpointId(key.substr(std::char_traits<char>::length(kLimitPrefix)));
}

absl::StatusOr<double> readLimit(const std::string &value)
{
    try {
        const double limit = nlohmann::json::parse(value).at(kLimitField).get<double>();
        if (std::isfinite(limit) && limit >= 0) {
            return limit;
        }
        return makeFailure(FailureCode::ObjectMalformed,
                           "limit is not a finite non-negative number: " + boundedText(value));
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, boundedText(e.what()));
    }
}

}

LimitReports::LimitReports(ObjectStore &store, TimerService &timers, RandomSource &random, CallGate &gate)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_gate(gate)
{
}

void LimitReports::noteLimit(const EndpointId &endpoint, std::optional<double> callsPerSecond)
{
    if (!isWorthReporting(endpoint, callsPerSecond)) {
        return;
    }
    const bool isScheduled = m_pending.contains(endpoint);
    m_pending[endpoint] = callsPerSecond;
    if (isScheduled) {
        return;
    }
    const Duration pause(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(kPublishSpread.count()))));
    m_timers.after(pause, [this, endpoint, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            flush(endpoint);
        }
    });
}

bool LimitReports::isWorthReporting(const EndpointId &endpoint, std::optional<double> callsPerSecond) const
{
    const auto it = m_published.find(endpoint);
    if (it == m_published.end() || !callsPerSecond) {
        return callsPerSecond.has_value() || it != m_published.end();
    }
    const Published &published = it->second;
    const bool isDue = m_timers.now() - published.at > kRepublishInterval;
    return isDue
        || std::abs(*callsPerSecond - published.callsPerSecond) > kMinimumRelativeChange * published.callsPerSecond;
}

void LimitReports::flush(const EndpointId &endpoint)
{
    const auto node = m_pending.extract(endpoint);
    if (node.empty() || !isWorthReporting(endpoint, node.mapped())) {
        return;
    }
    if (node.mapped()) {
        return publish(endpoint, *node.mapped());
    }
    withdraw(endpoint, m_published.at(endpoint));
}

void LimitReports::publish(const EndpointId &endpoint, double callsPerSecond)
{
    kLog.info("endpoint limit published",
              {field("endpoint", endpoint.value()), field("calls_per_second", std::to_string(callsPerSecond))});
    const auto it = m_published.find(endpoint);
    const std::string value = nlohmann::json{{kLimitField, callsPerSecond}, {kNonceField, m_random.freshName()}}.dump();
    m_store.put(keyOf(endpoint), value, it == m_published.end() ? 0 : it->second.version,
                [endpoint](const absl::StatusOr<std::uint64_t> &at) {
                    // On a version conflict another gateway was first. Other failures are not retried here, since the
                    // next answer of the endpoint brings the limit again.
                    if (!at.ok() && failureCode(at.status()) != FailureCode::VersionConflict) {
                        kLog.warning(
                            "endpoint limit could not be published",
                            {field("endpoint", endpoint.value()), field("error", std::string(at.status().message()))});
                    }
                });
}

void LimitReports::withdraw(const EndpointId &endpoint, const Published &published)
{
    kLog.info("endpoint limit withdrawn", {field("endpoint", endpoint.value())});
    m_store.remove(keyOf(endpoint), published.version, [endpoint](const absl::Status &status) {
        const FailureCode code = failureCode(status);
        if (!status.ok() && code != FailureCode::VersionConflict && code != FailureCode::ObjectMissing) {
            kLog.warning("endpoint limit could not be withdrawn",
                         {field("endpoint", endpoint.value()), field("error", std::string(status.message()))});
        }
    });
}

void LimitReports::removeExpired()
{
    const Duration late(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(kAnnouncedLimitTtl.count()))));
    for (const auto &[endpoint, published] : m_published) {
        if (m_timers.now() - published.at > kAnnouncedLimitTtl + late) {
            withdraw(endpoint, published);
        }
    }
}

void LimitReports::objectsListed(const std::vector<StoredObject> &objects)
{
    std::set<EndpointId> listed;
    for (const StoredObject &object : objects) {
        listed.insert(endpointOf(object.key));
    }
    std::vector<EndpointId> gone;
    for (const auto &[endpoint, published] : m_published) {
        if (!listed.contains(endpoint)) {
            gone.push_back(endpoint);
        }
    }
    for (const EndpointId &endpoint : gone) {
        forget(endpoint);
    }
    objectsChanged(objects);
}

void LimitReports::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        object.version == 0 ? forget(endpointOf(object.key)) : applyObject(object);
    }
}

void LimitReports::applyObject(const StoredObject &object)
{
    const EndpointId endpoint = endpointOf(object.key);
    const absl::StatusOr<double> limit = readLimit(object.value);
    if (!limit.ok()) {
        kLog.error("unreadable endpoint limit ignored",
                   {field("key", object.key), field("error", std::string(limit.status().message()))});
        return;
    }
    const auto known = m_published.find(endpoint);
    if (known != m_published.end() && known->second.version == object.version) {
        return;
    }
    m_published[endpoint] = {*limit, object.version, m_timers.now()};
    m_gate.setAnnouncedLimit(endpoint, *limit);
}

void LimitReports::forget(const EndpointId &endpoint)
{
    if (m_published.erase(endpoint) > 0) {
        m_gate.setAnnouncedLimit(endpoint, std::nullopt);
    }
}

}
