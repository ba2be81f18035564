#pragma once

#include "fleetsettings.h"

namespace RadishSwitch
{

/// What a home is told at its start.
struct BudgetHomeSettings : FleetSettings {
    /// Homes of one availability zone that make themselves known to the others; zero for all.
    int homesOfZone = 0;
};

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings);

}
