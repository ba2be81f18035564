#pragma once

#include "requests/home.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// One request's talk with the home of its budget, in this process or another.
///
/// A session that is dropped before `settle` leaves the home to find out at the agents what became of the request.
class HomeSession
{
public:
    using AdmitCallback = std::function<void(absl::StatusOr<AdmitDecision>)>;
    using DoneCallback = std::function<void(absl::Status)>;

    virtual ~HomeSession() = default;

    /// Once, first. HomeUnreachable when the home can't be asked; nothing ran then.
    virtual void admit(const AdmissionQuery &question, AdmitCallback callback) = 0;

    /// The attempt is about to be sent to this life of an agent. OK when the home has it on its books; an attempt other
    /// than the grant's own must not be sent before that.
    virtual void noteDispatched(const AttemptId &attempt, const std::string &agentAddress, DoneCallback callback) = 0;

    /// Once, last. OK when the home has it on its books.
    virtual void settle(const Settlement &settlement, DoneCallback callback) = 0;
};

}
