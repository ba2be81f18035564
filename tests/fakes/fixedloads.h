#pragma once

#include "serving/endpointloadsource.h"

#include <map>

namespace RadishSwitch
{

/// Load of endpoints as set by a test.
class FixedLoads : public EndpointLoadSource
{
public:
    std::optional<LoadEstimate> estimate(EndpointSlot slot, Instant /*now*/) const override
    {
        const auto it = loads.find(slot);
        return it == loads.end() ? std::nullopt : std::optional(it->second);
    }

    bool isUneven(const PoolId & /*pool*/) const override
    {
        return isUnevenPool;
    }

    std::map<EndpointSlot, LoadEstimate> loads;
    bool isUnevenPool = true;
};

}
