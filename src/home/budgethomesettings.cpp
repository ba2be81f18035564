#include "budgethomesettings.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMostHomesOfZone = 10'000;

}

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings)
{
    addFleetSettings(parser, settings);
    parser.addNumber("homes-of-zone", settings.homesOfZone, 0, kMostHomesOfZone,
                     "homes of one availability zone that make themselves known; 0 for all");
}

}
