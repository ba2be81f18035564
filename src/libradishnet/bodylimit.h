#pragma once

#include <cstddef>

namespace RadishSwitch
{

/// Decides how long a body may get that is read whole.
class BodyLimit
{
public:
    virtual ~BodyLimit() = default;

    /// Whether the body may have `bytes` by now. Asked whenever it has grown.
    virtual bool admits(std::size_t bytes) = 0;
};

}
