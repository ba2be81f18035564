#include "budgethomesettings.h"

namespace RadishSwitch
{

namespace
{

constexpr int kMaxAnnouncedHomesPerZone = 10'000;

}

void addBudgetHomeSettings(SettingsParser &parser, BudgetHomeSettings &settings)
{
    addFleetSettings(parser, settings);
    parser.addNumber("homes-of-zone", settings.announcedHomesPerZone, 0, kMaxAnnouncedHomesPerZone,
                     "number of homes in one availability zone that announce themselves to the fleet; 0 for all");
}

}
