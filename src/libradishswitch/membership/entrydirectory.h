#pragma once

#include "base/identifier.h"

#include <string>

namespace RadishSwitch
{

enum class EntryLiveness {
    Alive,
    /// The entry process is silent, and so are all others of its region. It may well be serving callers on the other
    /// side of a network partition.
    Unreachable,
    /// The entry process was removed from the platform's list, or is silent while others of its region send heartbeats.
    Dead,
};

/// The liveness of the other entry processes, as this process sees it. A wrong answer costs time but breaks no
/// guarantee: a key owner that is taken for dead while it is alive is fenced off by its epoch at the agents.
class EntryDirectory
{
public:
    virtual ~EntryDirectory() = default;

    /// `address` is where that incarnation was listening. If another incarnation is heard there, that one has ended.
    virtual EntryLiveness livenessOf(const IncarnationId &incarnation, const std::string &region,
                                     const std::string &address) const = 0;
};

}
