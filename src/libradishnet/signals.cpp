#include "signals.h"

#include "log.h"

#include <utility>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <mutex>

namespace RadishSwitch
{

namespace
{

const Log kLog("process");

/// Left to its default SIGHUP ends a process, and a settings file that changes while the process starts is reason
/// enough for a supervisor to send it: on a small instance a start takes half a second.
[[maybe_unused]] const auto kPreviousHandler = std::signal(SIGHUP, SIG_IGN);

}

class Signals::Private : public std::enable_shared_from_this<Signals::Private>
{
public:
    Private(WorkerPool &workers, std::function<void()> onStop)
        : m_signals(workers.context(), SIGTERM, SIGINT, SIGHUP)
        , m_onStop(std::move(onStop))
    {
    }

    // Without its handler a second SIGTERM would kill the process in the last moments of a stop in good order, and its
    // supervisor would see a failure. Blocked until it is ignored, it can't come in between.
    ~Private()
    {
        if (!m_isStopping) {
            return;
        }
        sigset_t signals;
        sigset_t before;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals, &before);
        boost::system::error_code ec;
        m_signals.clear(ec);
        std::signal(SIGTERM, SIG_IGN);
        std::signal(SIGINT, SIG_IGN);
        std::signal(SIGHUP, SIG_IGN);
        pthread_sigmask(SIG_SETMASK, &before, nullptr);
    }

    void wait()
    {
        m_signals.async_wait([self = shared_from_this()](boost::system::error_code ec, int signal) {
            if (!ec) {
                self->receive(signal);
            }
        });
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        boost::system::error_code ec;
        m_signals.cancel(ec);
        m_onStop = nullptr;
    }

private:
    void receive(int signal)
    {
        std::unique_lock lock(m_mutex);
        wait();
        if (signal == SIGHUP) {
            kLog.info("reload asked for; settings are read at a start, those in force stay");
            return;
        }
        if (m_isStopping || !m_onStop) {
            kLog.info("already stopping", {field("signal", signal)});
            return;
        }
        m_isStopping = true;
        kLog.info("stopping", {field("signal", signal)});
        const auto callback = std::exchange(m_onStop, nullptr);
        lock.unlock();
        callback();
    }

    std::mutex m_mutex;
    boost::asio::signal_set m_signals;
    std::function<void()> m_onStop;
    bool m_isStopping = false;
};

Signals::Signals(WorkerPool &workers, std::function<void()> onStop)
    : d(std::make_shared<Private>(workers, std::move(onStop)))
{
    d->wait();
}

Signals::~Signals()
{
    d->close();
}

}
