#include "reloadsignal.h"

#include <csignal>
#include <utility>

namespace RadishSwitch
{

ReloadSignal::ReloadSignal(WorkerPool &workers, std::function<void()> onReload)
    : m_signals(workers.context(), SIGHUP)
    , m_onReload(std::move(onReload))
{
    wait();
}

void ReloadSignal::wait()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            m_onReload();
            wait();
        }
    });
}

}
