#include "base/storecalllimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;

}

StoreCallLimiter::StoreCallLimiter(TimerService &timers, double callsPerSecond, double burst)
    : m_timers(timers)
    , m_callsPerSecond(callsPerSecond)
    , m_burst(std::max(1.0, burst))
    , m_tokens(m_burst)
    , m_refilledAt(timers.now())
{
}

StoreCallLimiter::~StoreCallLimiter()
{
    m_timers.cancel(m_timer);
}

void StoreCallLimiter::acquire(std::function<void()> call)
{
    refill();
    if (m_waiting.empty() && m_tokens >= 1) {
        m_tokens -= 1;
        call();
        return;
    }
    m_waiting.push_back(std::move(call));
    schedule();
}

std::size_t StoreCallLimiter::waiting() const
{
    return m_waiting.size();
}

void StoreCallLimiter::refill()
{
    const Instant now = m_timers.now();
    const double seconds = static_cast<double>((now - m_refilledAt).count()) / kMicrosecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + seconds * m_callsPerSecond);
    m_refilledAt = now;
}

void StoreCallLimiter::schedule()
{
    if (m_timer != 0 || m_waiting.empty()) {
        return;
    }
    const double missing = std::max(0.0, 1 - m_tokens);
    const auto wait = static_cast<Duration::rep>(std::ceil(missing / m_callsPerSecond * kMicrosecondsPerSecond));
    m_timer = m_timers.after(Duration(std::max<Duration::rep>(wait, 1)), [this] {
        m_timer = 0;
        runWaiting();
    });
}

void StoreCallLimiter::runWaiting()
{
    refill();
    while (!m_waiting.empty() && m_tokens >= 1) {
        m_tokens -= 1;
        const std::function<void()> call = std::move(m_waiting.front());
        m_waiting.pop_front();
        call();
    }
    schedule();
}

}
