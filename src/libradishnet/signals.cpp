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

}

class Signals::Private : public std::enable_shared_from_this<Signals::Private>
{
public:
    Private(WorkerPool &workers, std::function<void()> onStop)
        : signals(workers.context(), SIGTERM, SIGINT)
        , onStop(std::move(onStop))
    {
    }

    // Without its handler a second SIGTERM would kill the process in the last moments of a stop in good order, and its
    // supervisor would see a failure. Blocked until it is ignored, it can't come in between.
    ~Private()
    {
        if (!isStopping) {
            return;
        }
        sigset_t stopSignals;
        sigemptyset(&stopSignals);
        sigaddset(&stopSignals, SIGTERM);
        sigaddset(&stopSignals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
        boost::system::error_code ec;
        signals.clear(ec);
        std::signal(SIGTERM, SIG_IGN);
        std::signal(SIGINT, SIG_IGN);
    }

    void wait()
    {
        signals.async_wait([self = shared_from_this()](boost::system::error_code ec, int signal) {
            if (!ec) {
                self->receive(signal);
            }
        });
    }

    void close()
    {
        const std::lock_guard lock(mutex);
        boost::system::error_code ec;
        signals.cancel(ec);
        onStop = nullptr;
    }

private:
    void receive(int signal)
    {
        wait();
        std::unique_lock lock(mutex);
        if (isStopping || !onStop) {
            kLog.info("already stopping", {field("signal", signal)});
            return;
        }
        isStopping = true;
        kLog.info("stopping", {field("signal", signal)});
        const auto callback = std::exchange(onStop, nullptr);
        lock.unlock();
        callback();
    }

    std::mutex mutex;
    boost::asio::signal_set signals;
    std::function<void()> onStop;
    bool isStopping = false;
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
