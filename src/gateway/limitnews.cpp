#include "limitnews.h"

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
/// Makes each writing a change, which tells that the limit still stands.
constexpr char kWritingField[] = "writing";

/// Smaller changes of a limit are not worth a call to the store.
constexpr double kChange = 0.2;
/// Gateways that hear the same at once do not all write it.
constexpr Duration kToldWithin = std::chrono::milliseconds(100);
/// A limit that still stands is written again so often. Less than it lasts without.
constexpr Duration kToldAgain = kAnnouncedLimitTtl / 3;

std::string keyOf(const EndpointId &endpoint)
{
    return kLimitKeys + endpoint.value();
}

EndpointId endpointOf(const std::string &key)
{
    return EndpointId(key.substr(std::char_traits<char>::length(kLimitKeys)));
}

absl::StatusOr<double> readLimit(const std::string &value)
{
    try {
        const double limit = nlohmann::json::parse(value).at(kLimitField).get<double>();
        if (std::isfinite(limit) && limit >= 0) {
            return limit;
        }
        return makeFailure(FailureCode::ObjectMalformed, "no limit: " + value);
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, e.what());
    }
}

}

LimitNews::LimitNews(ObjectStore &store, TimerService &timers, RandomSource &random, CallGate &gate)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_gate(gate)
{
}

void LimitNews::noteHeard(const EndpointId &endpoint, std::optional<double> callsPerSecond)
{
    if (!isNews(endpoint, callsPerSecond)) {
        return;
    }
    const bool isAboutToTell = m_untold.contains(endpoint);
    m_untold[endpoint] = callsPerSecond;
    if (isAboutToTell) {
        return;
    }
    const Duration pause(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(kToldWithin.count()))));
    m_timers.after(pause, [this, endpoint, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            tell(endpoint);
        }
    });
}

bool LimitNews::isNews(const EndpointId &endpoint, std::optional<double> callsPerSecond) const
{
    const auto it = m_published.find(endpoint);
    if (it == m_published.end() || !callsPerSecond) {
        return callsPerSecond.has_value() || it != m_published.end();
    }
    const Published &published = it->second;
    const bool isOld = m_timers.now() - published.at > kToldAgain;
    return isOld || std::abs(*callsPerSecond - published.callsPerSecond) > kChange * published.callsPerSecond;
}

void LimitNews::tell(const EndpointId &endpoint)
{
    const auto node = m_untold.extract(endpoint);
    if (node.empty() || !isNews(endpoint, node.mapped())) {
        return;
    }
    if (node.mapped()) {
        return publish(endpoint, *node.mapped());
    }
    withdraw(endpoint, m_published.at(endpoint));
}

void LimitNews::publish(const EndpointId &endpoint, double callsPerSecond)
{
    kLog.info("limit told",
              {field("endpoint", endpoint.value()), field("calls_per_second", std::to_string(callsPerSecond))});
    const auto it = m_published.find(endpoint);
    const std::string value =
        nlohmann::json{{kLimitField, callsPerSecond}, {kWritingField, m_random.freshName()}}.dump();
    m_store.put(keyOf(endpoint), value, it == m_published.end() ? 0 : it->second.version,
                [endpoint](const absl::StatusOr<std::uint64_t> &at) {
                    // Another gateway was first, or the next answer brings it up again.
                    if (!at.ok() && failureCode(at.status()) != FailureCode::VersionConflict) {
                        kLog.warning(
                            "limit not told",
                            {field("endpoint", endpoint.value()), field("error", std::string(at.status().message()))});
                    }
                });
}

void LimitNews::withdraw(const EndpointId &endpoint, const Published &published)
{
    kLog.info("limit ended", {field("endpoint", endpoint.value())});
    m_store.remove(keyOf(endpoint), published.version, [endpoint](const absl::Status &status) {
        const FailureCode code = failureCode(status);
        if (!status.ok() && code != FailureCode::VersionConflict && code != FailureCode::ObjectMissing) {
            kLog.warning("end of a limit not told",
                         {field("endpoint", endpoint.value()), field("error", std::string(status.message()))});
        }
    });
}

void LimitNews::removeOld()
{
    const Duration late(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(kAnnouncedLimitTtl.count()))));
    for (const auto &[endpoint, published] : m_published) {
        if (m_timers.now() - published.at > kAnnouncedLimitTtl + late) {
            withdraw(endpoint, published);
        }
    }
}

void LimitNews::objectsListed(const std::vector<StoredObject> &objects)
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

void LimitNews::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        object.version == 0 ? forget(endpointOf(object.key)) : takeIn(object);
    }
}

void LimitNews::takeIn(const StoredObject &object)
{
    const EndpointId endpoint = endpointOf(object.key);
    const absl::StatusOr<double> limit = readLimit(object.value);
    if (!limit.ok()) {
        kLog.error("a limit can't be read",
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

void LimitNews::forget(const EndpointId &endpoint)
{
    if (m_published.erase(endpoint) > 0) {
        m_gate.setAnnouncedLimit(endpoint, std::nullopt);
    }
}

}
