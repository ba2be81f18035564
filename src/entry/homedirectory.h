#pragma once

#include "homesession.h"
#include "runplan.h"

namespace RadishSwitch
{

/// Finds the home of a request's budget and opens a session with it.
class HomeDirectory
{
public:
    virtual ~HomeDirectory() = default;

    /// A session for the `tries`th try at being admitted, counted from zero: after one that failed, another home may be
    /// asked. Never null; a home that can't be reached shows at `admit`.
    virtual std::unique_ptr<HomeSession> open(const RunPlan &plan, int tries) = 0;
};

}
