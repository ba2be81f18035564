#include "serving/zonecordons.h"

#include <algorithm>

namespace RadishSwitch
{

void ZoneCordons::replaceAll(const std::vector<std::string> &zones)
{
    m_isKnown = true;
    m_closed = {zones.begin(), zones.end()};
}

void ZoneCordons::close(const std::string &zone)
{
    m_closed.insert(zone);
}

void ZoneCordons::open(const std::string &zone)
{
    m_closed.erase(zone);
}

std::vector<std::string> ZoneCordons::closedZones() const
{
    std::vector<std::string> zones(m_closed.begin(), m_closed.end());
    std::ranges::sort(zones);
    return zones;
}

}
