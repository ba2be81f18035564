#pragma once

#include "workerpool.h"

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// SIGTERM and SIGINT. The first one asks the program to stop, on a worker; later ones are ignored, so that an
/// impatient operator or supervisor cuts off no request in progress.
class Signals
{
public:
    Signals(WorkerPool &workers, std::function<void()> onStop);
    ~Signals();

    Signals(const Signals &) = delete;
    Signals &operator=(const Signals &) = delete;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
