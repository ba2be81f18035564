#include "asiotimerservice.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <mutex>

namespace RadishSwitch
{

using SteadyClock = std::chrono::steady_clock;

class AsioTimerService::Private : public std::enable_shared_from_this<AsioTimerService::Private>
{
public:
    explicit Private(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    TimerId add(Duration delay, Duration interval, std::function<void()> callback)
    {
        const SteadyClock::time_point due = SteadyClock::now() + std::max(delay, Duration::zero());
        auto timer = std::make_shared<Timer>(m_context, interval, std::move(callback));
        const std::lock_guard lock(m_mutex);
        const TimerId id = ++m_lastId;
        m_timers.emplace(id, timer);
        arm(id, *timer, due);
        return id;
    }

    void cancel(TimerId id)
    {
        std::shared_ptr<Timer> timer;
        const std::lock_guard lock(m_mutex);
        const auto it = m_timers.find(id);
        if (it == m_timers.end()) {
            return;
        }
        timer = std::move(it->second);
        m_timers.erase(it);
        timer->timer.cancel();
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[id, timer] : m_timers) {
            timer->timer.cancel();
        }
        m_timers.clear();
    }

private:
    struct Timer {
        Timer(boost::asio::io_context &context, Duration interval, std::function<void()> callback)
            : timer(context)
            , interval(interval)
            , callback(std::move(callback))
        {
        }

        boost::asio::steady_timer timer;
        const Duration interval;
        const std::function<void()> callback;
    };

    void arm(TimerId id, Timer &timer, SteadyClock::time_point due)
    {
        timer.timer.expires_at(due);
        timer.timer.async_wait([weak = weak_from_this(), id](boost::system::error_code ec) {
            const std::shared_ptr<Private> self = weak.lock();
            if (self && !ec) {
                self->fire(id);
            }
        });
    }

    void fire(TimerId id)
    {
        const std::shared_ptr<Timer> timer = take(id);
        if (!timer) {
            return;
        }
        timer->callback();
        if (timer->interval > Duration::zero()) {
            rearm(id);
        }
    }

    /// The timer of a callback that is due. A single shot leaves the table; one that was cancelled is no longer in it.
    std::shared_ptr<Timer> take(TimerId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_timers.find(id);
        if (it == m_timers.end()) {
            return nullptr;
        }
        std::shared_ptr<Timer> timer = it->second;
        if (timer->interval == Duration::zero()) {
            m_timers.erase(it);
        }
        return timer;
    }

    void rearm(TimerId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_timers.find(id);
        if (it == m_timers.end()) {
            return;
        }
        Timer &timer = *it->second;
        arm(id, timer, std::max(timer.timer.expiry() + timer.interval, SteadyClock::now()));
    }

    boost::asio::io_context &m_context;
    std::mutex m_mutex;
    TimerId m_lastId = 0;
    absl::flat_hash_map<TimerId, std::shared_ptr<Timer>> m_timers;
};

AsioTimerService::AsioTimerService(WorkerPool &workers)
    : d(std::make_shared<Private>(workers.context()))
{
}

AsioTimerService::~AsioTimerService()
{
    d->close();
}

Instant AsioTimerService::now() const
{
    return Instant(std::chrono::duration_cast<Duration>(SteadyClock::now().time_since_epoch()));
}

Instant AsioTimerService::nowWithSuspension() const
{
    timespec time{};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return now();
    }
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t AsioTimerService::wallClockMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

TimerId AsioTimerService::after(Duration delay, std::function<void()> callback)
{
    return d->add(delay, Duration::zero(), std::move(callback));
}

TimerId AsioTimerService::every(Duration interval, std::function<void()> callback)
{
    return d->add(interval, interval, std::move(callback));
}

void AsioTimerService::cancel(TimerId id)
{
    d->cancel(id);
}

}
