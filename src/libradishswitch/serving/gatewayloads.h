#pragma once

#include "serving/endpointloadreport.h"

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// The last reported load of each gateway of a zone.
///
/// Load pattern: the load balancer selects gateways by a hash of the caller, so that one gateway is full while others
/// of its zone have room. Whether it helps to leave the rotation depends on the others.
///
/// Single-threaded, without I/O.
class GatewayLoads
{
public:
    /// Reports are discarded at this age.
    static constexpr Duration kReportTtl = std::chrono::seconds(3);
    /// Bound on the number of known gateways; a zone has a tenth of that.
    static constexpr std::size_t kMaximumGateways = 1000;

    /// `self` and `zone` are the name and the zone of this process.
    GatewayLoads(std::string self, std::string zone);

    /// Sets the names of the fleet's gateways. Until then reports of any gateway are taken in.
    void setListed(std::set<std::string> gateways)
    {
        m_listed = std::move(gateways);
    }

    /// Takes in a report. Reports of this process itself, of gateways of other zones and those that are not newer than
    /// the known report are ignored. Failures, which change nothing: MalformedMessage for impossible values,
    /// NoEndpoint for a gateway that is not listed, Overloaded if too many gateways are known.
    absl::Status takeIn(const GatewayLoadReport &report, Instant now);

    /// The last reports of the other gateways of the zone, in order of their names, with their present ages.
    std::vector<GatewayLoadReport> neighbours(Instant now) const;

private:
    struct GatewayNews {
        GatewayLoadReport report;
        Instant measuredAt{};
    };

    static absl::Status check(const GatewayLoadReport &report);
    void removeExpired(Instant now);

    const std::string m_self;
    const std::string m_zone;
    std::optional<std::set<std::string>> m_listed;
    std::map<std::string, GatewayNews> m_gateways;
};

}
