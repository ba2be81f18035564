#pragma once

#include "base/identifier.h"

#include <string>

namespace RadishSwitch
{

/// An endpoint as the platform's list of instances shows it. The list lags: it names some that are gone and lacks some
/// that live.
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
