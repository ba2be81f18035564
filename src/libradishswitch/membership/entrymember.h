#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// What an entry process says of itself with each heartbeat.
struct EntryMember {
    IncarnationId incarnation;
    std::string address;
    std::string zone;
    std::string region;
    bool isLeaving = false;
    std::uint64_t tableRevision = 0;
    /// Grows with every heartbeat of one incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const EntryMember &) const = default;
};

}
