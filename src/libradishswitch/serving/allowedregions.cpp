#include "serving/allowedregions.h"

#include <algorithm>

namespace RadishSwitch
{

AllowedRegions::AllowedRegions(const std::vector<std::string> &ofRoute, const std::vector<std::string> &ofOrganisation)
{
    if (ofRoute.empty() && ofOrganisation.empty()) {
        return;
    }
    m_regions = ofRoute.empty() ? ofOrganisation : ofRoute;
    if (!ofOrganisation.empty()) {
        std::erase_if(*m_regions, [&ofOrganisation](const std::string &region) {
            return std::ranges::find(ofOrganisation, region) == ofOrganisation.end();
        });
    }
}

bool AllowedRegions::allows(const std::string &region) const
{
    return !m_regions || std::ranges::find(*m_regions, region) != m_regions->end();
}

}
