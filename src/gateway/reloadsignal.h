#pragma once

#include "workerpool.h"

#include <boost/asio/signal_set.hpp>

#include <functional>

namespace RadishSwitch
{

/// SIGHUP, which would end a process that does not ask for it. Calls back on a worker, each time.
class ReloadSignal
{
public:
    ReloadSignal(WorkerPool &workers, std::function<void()> onReload);

private:
    void wait();

    boost::asio::signal_set m_signals;
    const std::function<void()> m_onReload;
};

}
