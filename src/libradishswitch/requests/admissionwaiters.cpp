#include "requests/admissionwaiters.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace RadishSwitch
{

AdmissionWaiters::AdmissionWaiters(TimerService &timers)
    : m_timers(timers)
{
}

AdmissionWaiters::~AdmissionWaiters()
{
    for (const auto &[request, waiters] : m_waiters) {
        for (const Waiter &waiter : waiters) {
            m_timers.cancel(waiter.timer);
        }
    }
}

void AdmissionWaiters::add(Admission admission, ExpiredCallback expired)
{
    const RequestId request = admission.query.request;
    const Duration span = admission.query.deadline - m_timers.now();
    const auto timer = std::make_shared<TimerId>(0);
    *timer = m_timers.after(span, m_life.guard([this, request, timer, expired = std::move(expired)] {
        expire(request, *timer, expired);
    }));
    m_waiters[request].push_back({std::move(admission), *timer});
}

std::vector<Admission> AdmissionWaiters::take(const RequestId &request)
{
    std::vector<Admission> taken;
    auto node = m_waiters.extract(request);
    if (node.empty()) {
        return taken;
    }
    for (Waiter &waiter : node.mapped()) {
        m_timers.cancel(waiter.timer);
        taken.push_back(std::move(waiter.admission));
    }
    return taken;
}

void AdmissionWaiters::expire(const RequestId &request, TimerId timer, const ExpiredCallback &expired)
{
    const auto it = m_waiters.find(request);
    if (it == m_waiters.end()) {
        return;
    }
    std::vector<Waiter> &waiters = it->second;
    const auto waiter = std::find_if(waiters.begin(), waiters.end(), [timer](const Waiter &waiter) {
        return waiter.timer == timer;
    });
    if (waiter == waiters.end()) {
        return;
    }
    const Admission admission = std::move(waiter->admission);
    waiters.erase(waiter);
    if (waiters.empty()) {
        m_waiters.erase(it);
    }
    expired(admission);
}

}
