#pragma once

#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The regions in which a call may be served.
///
/// Some prompts must not leave a region, by the contract of an organisation or the rules of a route. A restricted call
/// is sent to no endpoint outside its allowed regions, nor to one whose region is not known, even if it fails for that
/// reason.
class AllowedRegions
{
public:
    /// No restriction.
    AllowedRegions() = default;

    /// The allowed regions of a route and of an organisation; an empty list means no restriction. If both have one,
    /// only regions in both lists are allowed, which may leave none.
    AllowedRegions(const std::vector<std::string> &ofRoute, const std::vector<std::string> &ofOrganisation);

    /// `region` is empty if it is not known.
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
