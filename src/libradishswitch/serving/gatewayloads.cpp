#include "serving/gatewayloads.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumNameBytes = 256;
constexpr double kMaximumFullness = 1000;
constexpr double kMaximumLinkMbps = 1'000'000;
constexpr Duration kMaximumAge = std::chrono::minutes(1);

/// False also for a value that is not a number.
bool isWithin(double value, double maximum)
{
    return value >= 0 && value <= maximum;
}

}

GatewayLoads::GatewayLoads(std::string self, std::string zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

absl::Status GatewayLoads::check(const GatewayLoadReport &report)
{
    if (report.gateway.empty() || report.gateway.size() > kMaximumNameBytes) {
        return makeFailure(FailureCode::MalformedMessage, "missing or oversized name in the load of a gateway");
    }
    if (!isWithin(report.fullness, kMaximumFullness) || !isWithin(report.linkMbps, kMaximumLinkMbps)) {
        return makeFailure(FailureCode::MalformedMessage, "value out of range in the load of a gateway");
    }
    if (report.age < Duration::zero() || report.age > kMaximumAge) {
        return makeFailure(FailureCode::MalformedMessage, "age out of range in the load of a gateway");
    }
    return absl::OkStatus();
}

absl::Status GatewayLoads::takeIn(const GatewayLoadReport &report, Instant now)
{
    if (absl::Status status = check(report); !status.ok()) {
        return status;
    }
    if (report.gateway == m_self || report.zone != m_zone) {
        return absl::OkStatus();
    }
    if (m_listed && !m_listed->contains(report.gateway)) {
        return makeFailure(FailureCode::NoEndpoint, "load of a gateway that is not listed");
    }
    const Instant measuredAt = now - report.age;
    auto it = m_gateways.find(report.gateway);
    if (it == m_gateways.end()) {
        removeExpired(now);
        if (m_gateways.size() >= kMaximumGateways) {
            return makeFailure(FailureCode::Overloaded, "too many gateways in the news of load");
        }
        it = m_gateways.try_emplace(report.gateway).first;
    } else if (measuredAt <= it->second.measuredAt) {
        return absl::OkStatus();
    }
    it->second.report = report;
    it->second.measuredAt = measuredAt;
    return absl::OkStatus();
}

std::vector<GatewayLoadReport> GatewayLoads::neighbours(Instant now) const
{
    std::vector<GatewayLoadReport> reports;
    for (const auto &[name, news] : m_gateways) {
        const Duration age = now - news.measuredAt;
        if (age <= kReportTtl) {
            reports.push_back(news.report);
            reports.back().age = age;
        }
    }
    return reports;
}

void GatewayLoads::removeExpired(Instant now)
{
    std::erase_if(m_gateways, [now](const auto &entry) {
        return now - entry.second.measuredAt > kReportTtl;
    });
}

}
