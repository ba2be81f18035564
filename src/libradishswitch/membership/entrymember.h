#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// The content of an entry process's heartbeat.
struct EntryMember {
    IncarnationId incarnation;
    std::string address;
    std::string zone;
    std::string region;
    bool isLeaving = false;
    std::uint64_t tableRevision = 0;
    /// Increases with every heartbeat of an incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const EntryMember &) const = default;
};

}
