#pragma once

#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The regions in which a call may be served.
///
/// Some prompts must not leave a region, by an organisation's contract or a route's. A call that is bound is sent to no
/// endpoint elsewhere, whatever that costs it; nor to one whose region is not known.
class AllowedRegions
{
public:
    /// No bound.
    AllowedRegions() = default;

    /// The bounds of a route and of an organisation, each with no region where it has none. Where both have one, both
    /// hold; together they may leave no region at all.
    AllowedRegions(const std::vector<std::string> &ofRoute, const std::vector<std::string> &ofOrganisation);

    /// `region` is empty where it is not known.
    bool allows(const std::string &region) const;

    bool isRestricted() const
    {
        return m_regions.has_value();
    }

    bool operator==(const AllowedRegions &) const = default;

private:
    std::optional<std::vector<std::string>> m_regions;
};

}
