#pragma once

#include "fleetsettings.h"

namespace RadishSwitch
{

/// Start-up settings of a home process.
struct BudgetHomeSettings : FleetSettings {
    /// Number of homes in one availability zone that announce themselves to the fleet. Zero means that all homes do.
    int announcedHomesPerZone = 0;
};

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings);

}
