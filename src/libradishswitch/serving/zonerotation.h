#pragma once

#include "serving/endpointloadreport.h"

#include <vector>

namespace RadishSwitch
{

struct ZoneRotationSettings {
    /// A gateway is full above this fullness.
    double fullAbove = 0.85;
    /// From this fullness on a gateway is overloaded. It goes before those that are only full: one that is always
    /// nearly full would otherwise keep a gateway that refuses requests from leaving.
    double overloadedFrom = 1;
    /// Above this mean fullness the other gateways have no room for the callers of one that leaves.
    double busyAbove = 0.7;
    /// Greatest share of the zone's bandwidth that may be out of rotation.
    double maximumBandwidthShare = 1.0 / 3;
    /// Older reports are ignored. A gateway reports itself every 500 ms, and a collector passes that on within 2 s.
    Duration maximumReportAge = std::chrono::seconds(3);

    bool operator==(const ZoneRotationSettings &) const = default;
};

/// Decides, from one set of reports, which of a zone's gateways may be out of the load balancer's rotation.
///
/// Load pattern: several gateways of a zone are full at the same time. If all of them left, the others would be
/// overloaded, and with under half of the gateways in rotation the load balancer uses all of them. All gateways rank
/// the zone's full gateways by the same rule, so that each knows without further messages whether it is its turn.
class ZoneRotation
{
public:
    /// `own` is the gateway's present state. `reports` are those of the zone's gateways. They may have an entry of the
    /// gateway itself, which is how full the others take it to be.
    ZoneRotation(const ZoneRotationSettings &settings, GatewayLoadReport own,
                 const std::vector<GatewayLoadReport> &reports);

    /// Number of other gateways with a recent report.
    int knownNeighbours() const
    {
        return static_cast<int>(m_neighbours.size());
    }

    /// Whether the neighbours in rotation have no room for the callers of another gateway. Their mean fullness is
    /// weighted by bandwidth, and one of them counts as 1 at most.
    bool areNeighboursBusy() const;

    /// Whether the gateway may leave the rotation now.
    bool mayLeave() const;

    /// Whether the gateway, which is out of rotation, may stay out. It may not if too many are, which happens when
    /// several left before they knew of one another.
    bool mayStayAway() const;

private:
    /// What may be out of rotation, less what is.
    struct Allowance {
        int gateways = 0;
        double mbps = 0;
    };

    /// Bandwidth of a gateway; the mean of the known ones if it is not known.
    double bandwidth(const GatewayLoadReport &report) const;
    Allowance wholeAllowance() const;
    bool take(const GatewayLoadReport &report, Allowance &allowance) const;
    /// Whether the allowance reaches the gateway when it is given to `others` and the gateway in order of their rank.
    bool isWithin(std::vector<const GatewayLoadReport *> others, Allowance allowance) const;
    bool isOverloaded(const GatewayLoadReport &report) const
    {
        return report.fullness >= m_settings.overloadedFrom;
    }

    const ZoneRotationSettings m_settings;
    GatewayLoadReport m_own;
    std::vector<GatewayLoadReport> m_neighbours;
    double m_meanBandwidth = 1;
};

}
