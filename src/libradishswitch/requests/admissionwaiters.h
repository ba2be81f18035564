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

/// An admission query with the callback that takes its answer.
struct Admission {
    AdmissionQuery query;
    AdmitCallback callback;
};

/// Admissions that wait for an earlier query of the same request to be decided. Each waits until its own deadline at
/// most.
class AdmissionWaiters
{
public:
    using ExpiredCallback = std::function<void(const Admission &)>;

    explicit AdmissionWaiters(TimerService &timers);
    ~AdmissionWaiters();

    AdmissionWaiters(const AdmissionWaiters &) = delete;
    AdmissionWaiters &operator=(const AdmissionWaiters &) = delete;

    void add(Admission admission, ExpiredCallback expired);

    /// Removes and returns all admissions that wait for this request, in the order of their arrival.
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
