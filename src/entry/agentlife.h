#pragma once

#include "base/identifier.h"

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// One life of the agent at an address. An agent started anew at the same address knows nothing of what its earlier
/// life ran, so what is asked about a run names the life that is meant.
struct AgentLife {
    /// "ip:port".
    std::string address;
    /// Empty when it is not known; then whichever life is there may answer.
    IncarnationId incarnation;

    bool operator==(const AgentLife &) const = default;

    /// "ip:port#incarnation", as the decisions hand it around.
    std::string toString() const;
    static AgentLife parse(std::string_view text);
};

}
