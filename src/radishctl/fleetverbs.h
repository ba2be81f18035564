#pragma once

#include "commandgroup.h"
#include "fleetlist.h"

#include <string>
#include <vector>

namespace RadishSwitch
{

/// `status`, `drain`, `why` and `endpoint`: the processes of the fleet.
class FleetVerbs : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    void addEndpointVerbs(CLI::App &parent, Command &chosen);

    ExitCode status(CommandContext &context) const;
    ExitCode printStatus(CommandContext &context) const;
    ExitCode drain(CommandContext &context) const;
    ExitCode why(CommandContext &context) const;
    ExitCode listEndpoints(CommandContext &context) const;
    ExitCode showEndpoint(CommandContext &context) const;
    absl::StatusOr<FleetInstance> findInstance(CommandContext &context) const;

    std::string m_name;
    bool m_withBudgets = false;
    bool m_watches = false;
    double m_intervalSeconds = 2;
    int m_redraws = 0;
};

}
