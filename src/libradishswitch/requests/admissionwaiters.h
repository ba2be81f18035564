#pragma once

#include "base/lifetimetoken.h"
#include "base/timerservice.h"
#include "requests/admission.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <vector>

namespace RadishSwitch
{

using AdmitCallback = std::function<void(absl::StatusOr<AdmitDecision>)>;

/// A question with the way to answer it.
struct Admission {
    AdmitQuestion question;
    AdmitCallback callback;
};

/// Questions that wait for an earlier one of the same request, each no longer than its own deadline.
class AdmissionWaiters
{
public:
    using ExpiredCallback = std::function<void(const Admission &)>;

    explicit AdmissionWaiters(TimerService &timers);
    ~AdmissionWaiters();

    AdmissionWaiters(const AdmissionWaiters &) = delete;
    AdmissionWaiters &operator=(const AdmissionWaiters &) = delete;

    void add(Admission admission, ExpiredCallback expired);

    /// Hands out all that wait for a request, in the order in which they came.
    std::vector<Admission> take(const RequestId &request);

private:
    struct Waiter {
        Admission admission;
        TimerId timer = 0;
    };

    void expire(const RequestId &request, TimerId timer, const ExpiredCallback &expired);

    TimerService &m_timers;
    std::map<RequestId, std::vector<Waiter>> m_waiters;
    LifetimeToken m_life;
};

}
