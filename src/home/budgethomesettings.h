#pragma once

#include "fleetsettings.h"

namespace RadishSwitch
{

/// Start-up settings of a home process.
struct BudgetHomeSettings : FleetSettings {
    /// Number of homes in one availability zone that announce themselves to the fleet. Zero means that all homes do.
    int announcedHomesPerZone = 0;
    /// Address of the endpoint beside the home, "ip:port". If empty, the home reads no reports of it, sends no load and
    /// is no collector of load reports.
    std::string endpoint;
};

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings);

}
