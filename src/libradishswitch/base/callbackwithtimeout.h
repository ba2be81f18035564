#pragma once

#include "base/failure.h"
#include "base/timerservice.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Wraps the callback of a call to the object store. The callback is called once: with the answer, or with StoreTimeout
/// when no answer arrived before `deadline`. A later answer is dropped.
template<typename T>
std::function<void(absl::StatusOr<T>)> callbackWithTimeout(TimerService &timers, Duration deadline,
                                                           std::function<void(absl::StatusOr<T>)> callback)
{
    const auto isOver = std::make_shared<std::atomic<bool>>(false);
    const auto once = [isOver, callback = std::move(callback)](const absl::StatusOr<T> &answer) {
        if (!isOver->exchange(true)) {
            callback(answer);
        }
    };
    const TimerId timer = timers.after(deadline, [once] {
        once(makeFailure(FailureCode::StoreTimeout, "the object store did not answer before the deadline of the call"));
    });
    return [once, timer, &timers](absl::StatusOr<T> answer) {
        timers.cancel(timer);
        once(answer);
    };
}

}
