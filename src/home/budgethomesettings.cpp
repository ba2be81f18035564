#include "budgethomesettings.h"

#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMaxAnnouncedHomesPerZone = 10'000;

absl::Status checkEndpoint(const std::string &endpoint)
{
    const absl::StatusOr<SocketAddress> address = parseSocketAddress(endpoint);
    if (endpoint.empty() || (address.ok() && address->port() > 0)) {
        return absl::OkStatus();
    }
    return makeFailure(FailureCode::InvalidSettings,
                       "--endpoint: \"" + endpoint + "\" must be empty or ip:port with a port from 1 to 65535");
}

}

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings)
{
    addFleetSettings(parser, settings);
    parser.addNumber("homes-of-zone", settings.announcedHomesPerZone, 0, kMaxAnnouncedHomesPerZone,
                     "number of homes in one availability zone that announce themselves to the fleet; 0 for all");
    parser.add("endpoint", settings.endpoint,
               "address of the endpoint beside this home, whose load is read and sent to the gateways; empty for none");
    parser.addCheck([&settings] {
        return checkEndpoint(settings.endpoint);
    });
}

}
