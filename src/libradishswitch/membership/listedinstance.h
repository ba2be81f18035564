#pragma once

#include "base/identifier.h"

#include <string>

namespace RadishSwitch
{

/// An endpoint in the platform's list of instances. The list lags: it contains endpoints that no longer exist, and
/// lacks some that do.
struct ListedInstance {
    EndpointId endpoint;
    std::string address;
    PoolId pool;
    std::string zone;
    std::string region;
    bool isLeaving = false;

    bool operator==(const ListedInstance &) const = default;
};

}
