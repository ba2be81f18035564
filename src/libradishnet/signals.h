#pragma once

#include "workerpool.h"

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// What a program does with the signals that operators and supervisors send; the same in all programs that stay.
///
/// SIGTERM and SIGINT: the first one asks the program to stop, on a worker; later ones are ignored, so that an
/// impatient operator or supervisor cuts off no request in progress. SIGHUP: programs read their settings at a start
/// only, so those in force stay, and a line says so. It is ignored from before `main` on.
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
