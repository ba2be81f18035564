#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// All durations inside the fleet are in whole microseconds.
using Duration = std::chrono::microseconds;

/// The steady clock of the timer service. Its epoch has no meaning; only differences between its time points do.
struct ServiceClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ServiceClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A time point of the timer service.
using Instant = ServiceClock::time_point;

/// Identifies a periodic or a single-shot timer, for its cancellation. Zero identifies no timer.
using TimerId = std::uint64_t;

/// The only source of time. No other class reads a clock or sleeps, so that a test can control time.
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// The current time. Never goes back.
    virtual Instant now() const = 0;

    /// As `now`, on a clock that also counts time during which the machine was suspended. Comparable only with itself.
    virtual Instant nowWithSuspension() const
    {
        return now();
    }

    /// The wall clock in milliseconds since 1970, for records that people read. Never used for a decision.
    virtual std::int64_t wallClockMilliseconds() const = 0;

    /// Calls `callback` once, after `delay`. With a delay of zero or less it is called at the next opportunity, but not
    /// inside this call.
    virtual TimerId after(Duration delay, std::function<void()> callback) = 0;

    /// Calls `callback` every `interval` until it is cancelled.
    virtual TimerId every(Duration interval, std::function<void()> callback) = 0;

    /// Cancels a timer. A timer that has fired already or that never existed is ignored.
    virtual void cancel(TimerId id) = 0;
};

}
