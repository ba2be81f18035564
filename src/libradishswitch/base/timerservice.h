#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// All spans of time inside the fleet are whole microseconds.
using Duration = std::chrono::microseconds;

/// The steady clock that the timer service hands out. Its zero has no meaning; only differences count.
struct ServiceClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ServiceClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A moment of the timer service.
using Instant = ServiceClock::time_point;

/// Names a subscription or a single shot, for its cancellation. Zero names none.
using TimerId = std::uint64_t;

/// The one source of time. Parts subscribe to it; none of them reads a clock or sleeps, so that a test can move time
/// by hand.
class TimerService
{
public:
    virtual ~TimerService() = default;

    /// The present moment. Never goes back.
    virtual Instant now() const = 0;

    /// The wall clock in milliseconds since 1970, for records that people read. Never used in a decision.
    virtual std::int64_t wallClockMilliseconds() const = 0;

    /// Calls `callback` once, `delay` from now. A delay of zero or less fires at the next turn.
    virtual TimerId after(Duration delay, std::function<void()> callback) = 0;

    /// Calls `callback` every `interval` until it is cancelled.
    virtual TimerId every(Duration interval, std::function<void()> callback) = 0;

    /// Forgets a timer. A timer that has fired already, or that never was, is ignored.
    virtual void cancel(TimerId id) = 0;
};

}
