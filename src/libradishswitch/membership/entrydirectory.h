#pragma once

#include "base/identifier.h"

#include <string>

namespace RadishSwitch
{

enum class EntryLiveness {
    Alive,
    /// Silent, and so is all that stands with it: it may well be serving callers on the other side of a partition.
    Unreachable,
    /// Gone from the platform's list, or silent while others of its region are heard.
    Dead,
};

/// What this process knows of the other entries. A wrong answer costs time, never a promise: a key owner that is taken
/// for dead while it lives is fenced off at the agents by its epoch.
class EntryDirectory
{
public:
    virtual ~EntryDirectory() = default;

    /// `address` is where that incarnation was; another one heard there shows that it is gone.
    virtual EntryLiveness livenessOf(const IncarnationId &incarnation, const std::string &region,
                                     const std::string &address) const = 0;
};

}
