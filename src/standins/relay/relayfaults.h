#pragma once

#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// What a link does to the bytes of one direction, or of both.
enum class Swallow {
    Nothing,
    ToTarget,
    FromTarget,
    Both,
};

/// What is wrong with a link at present.
struct LinkFaults {
    /// Connections are reset, open ones and new ones.
    bool isCut = false;
    /// New connections are taken in and carry nothing.
    bool isSwallowingNew = false;
    /// Time that bytes take besides, each way.
    Duration delay = Duration::zero();

    bool operator==(const LinkFaults &) const = default;
};

/// A change of faults, as POST /standin/faults brings it.
struct FaultOrder {
    /// The links that it is for: those of this group, the one that listens at this address, or all when both are
    /// empty.
    std::string group;
    std::string link;
    /// Only connections from addresses that begin with this are touched; empty for all. So one side of a partition is
    /// cut off from a process that its own side still reaches.
    std::string from;
    LinkFaults faults;
    /// What happens from now on to the connections that are open now; new ones are not touched.
    Swallow swallow = Swallow::Nothing;

    bool operator==(const FaultOrder &) const = default;
};

/// Reads {"group" or "link", "from", "cut", "swallow": "to_target"|"from_target"|"both", "swallow_new", "delay_ms"}.
/// What is not named is off; connections that are silent stay so. InvalidRequest for anything else.
absl::StatusOr<FaultOrder> faultOrderOfJson(const std::string &document);

}
