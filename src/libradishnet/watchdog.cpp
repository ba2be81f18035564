#include "watchdog.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>

namespace RadishSwitch
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr Clock::time_point kNever = Clock::time_point::max();

}

class Watchdog::Private : public std::enable_shared_from_this<Watchdog::Private>
{
public:
    Private(const boost::asio::any_io_executor &strand, std::function<void()> onExpired)
        : timer(strand)
        , onExpired(std::move(onExpired))
    {
    }

    void expireAt(Clock::time_point moment)
    {
        deadline = moment;
        isExpired = false;
        if (moment < armedFor) {
            arm();
        }
    }

    void forgetOwner()
    {
        const std::lock_guard lock(mutex);
        onExpired = nullptr;
    }

    boost::asio::steady_timer timer;
    std::mutex mutex;
    std::function<void()> onExpired;
    Clock::time_point deadline = kNever;
    Clock::time_point armedFor = kNever;
    bool isExpired = false;
    Duration lateness{};

private:
    void arm()
    {
        armedFor = deadline;
        timer.expires_at(deadline);
        timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (!ec) {
                self->fire();
            }
        });
    }

    void fire()
    {
        armedFor = kNever;
        if (deadline == kNever) {
            return;
        }
        const Clock::time_point now = Clock::now();
        if (now < deadline) {
            arm();
            return;
        }
        lateness = std::chrono::duration_cast<Duration>(now - deadline);
        deadline = kNever;
        isExpired = true;
        const std::lock_guard lock(mutex);
        if (onExpired) {
            onExpired();
        }
    }
};

Watchdog::Watchdog(boost::asio::any_io_executor strand, std::function<void()> onExpired)
    : d(std::make_shared<Private>(strand, std::move(onExpired)))
{
}

Watchdog::~Watchdog()
{
    // The owner may go on any thread, while the timer may be firing on the strand.
    d->forgetOwner();
    boost::asio::post(d->timer.get_executor(), [d = d] {
        d->timer.cancel();
    });
}

void Watchdog::expireAfter(Duration span)
{
    d->expireAt(Clock::now() + span);
}

void Watchdog::clear()
{
    d->deadline = kNever;
    d->isExpired = false;
}

bool Watchdog::isExpired() const
{
    return d->isExpired;
}

Duration Watchdog::lateness() const
{
    return d->lateness;
}

}
