#include "serving/zonerotation.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Fullness is ranked in steps of this size, so that a report that is half a second old gives the same rank as a new
/// one.
constexpr double kRankStep = 0.1;

/// Share of the bandwidth limit by which rounding may exceed it.
constexpr double kRoundingSlack = 1e-9;

double rankedFullness(const GatewayLoadReport &report)
{
    return std::round(std::clamp(report.fullness, 0.0, 1.0) / kRankStep);
}

}

ZoneRotation::ZoneRotation(const ZoneRotationSettings &settings, GatewayLoadReport own,
                           const std::vector<GatewayLoadReport> &reports)
    : m_settings(settings)
    , m_own(std::move(own))
{
    double knownMbps = m_own.linkMbps;
    int knownLinks = m_own.linkMbps > 0 ? 1 : 0;
    for (const GatewayLoadReport &it : reports) {
        if (it.age > m_settings.maximumReportAge) {
            continue;
        }
        if (it.gateway == m_own.gateway) {
            if (it.fullness > m_settings.fullAbove && !isOverloaded(m_own)) {
                m_own.fullness = it.fullness;
            }
            continue;
        }
        m_neighbours.push_back(it);
        knownMbps += it.linkMbps;
        knownLinks += it.linkMbps > 0 ? 1 : 0;
    }
    if (knownLinks > 0) {
        m_meanBandwidth = knownMbps / knownLinks;
    }
}

bool ZoneRotation::areNeighboursBusy() const
{
    double used = 0;
    double total = 0;
    for (const GatewayLoadReport &it : m_neighbours) {
        if (!it.isDiverting) {
            used += bandwidth(it) * std::clamp(it.fullness, 0.0, 1.0);
            total += bandwidth(it);
        }
    }
    return used > total * m_settings.busyAbove || total == 0;
}

bool ZoneRotation::mayLeave() const
{
    Allowance allowance = wholeAllowance();
    std::vector<const GatewayLoadReport *> full;
    for (const GatewayLoadReport &it : m_neighbours) {
        if (it.isDiverting) {
            take(it, allowance);
        } else if (it.fullness > m_settings.fullAbove) {
            full.push_back(&it);
        }
    }
    return !areNeighboursBusy() && isWithin(std::move(full), allowance);
}

bool ZoneRotation::mayStayAway() const
{
    std::vector<const GatewayLoadReport *> away;
    for (const GatewayLoadReport &it : m_neighbours) {
        if (it.isDiverting) {
            away.push_back(&it);
        }
    }
    return isWithin(std::move(away), wholeAllowance());
}

double ZoneRotation::bandwidth(const GatewayLoadReport &report) const
{
    return report.linkMbps > 0 ? report.linkMbps : m_meanBandwidth;
}

ZoneRotation::Allowance ZoneRotation::wholeAllowance() const
{
    double total = bandwidth(m_own);
    for (const GatewayLoadReport &it : m_neighbours) {
        total += bandwidth(it);
    }
    // (n - 1) / 2 of the zone's n gateways.
    return {knownNeighbours() / 2, total * m_settings.maximumBandwidthShare * (1 + kRoundingSlack)};
}

bool ZoneRotation::take(const GatewayLoadReport &report, Allowance &allowance) const
{
    allowance.gateways -= 1;
    allowance.mbps -= bandwidth(report);
    return allowance.gateways >= 0 && allowance.mbps >= 0;
}

bool ZoneRotation::isWithin(std::vector<const GatewayLoadReport *> others, Allowance allowance) const
{
    others.push_back(&m_own);
    std::ranges::sort(others, {}, [this](const GatewayLoadReport *it) {
        // A gateway that has left is no longer overloaded, but it was.
        const bool goesFirst = it->isDiverting || isOverloaded(*it);
        return std::tuple(!goesFirst, bandwidth(*it), -rankedFullness(*it), std::string_view(it->gateway));
    });
    for (const GatewayLoadReport *it : others) {
        const bool isAllowed = take(*it, allowance);
        if (it == &m_own) {
            return isAllowed;
        }
    }
    return false;
}

}
