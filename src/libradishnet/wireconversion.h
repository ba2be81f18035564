#pragma once

#include "agents/agentport.h"
#include "base/failure.h"
#include "requests/runtable.h"
#include "wire.h"

#include <absl/status/statusor.h>

#include <string>

namespace RadishSwitch
{

/// A failed status as it travels, and back. The code, the outcome and the time to come back survive.
wire::Failure failureToWire(const absl::Status &status);
absl::Status failureFromWire(const wire::Failure &failure);

wire::RunRecord runRecordToWire(const RunRecord &record);
RunRecord runRecordFromWire(const wire::RunRecord &record);

/// What a run table is asked to start.
RunStart runStartFromWire(const wire::RunRequest &request);

wire::PortionCharges portionChargesToWire(const PortionCharges &charges);
PortionCharges portionChargesFromWire(const wire::PortionCharges &charges);

/// Reads a frame as a message; MalformedMessage when it is none.
template<typename Message>
absl::StatusOr<Message> parseFrame(const std::string &frame)
{
    Message message;
    if (!message.ParseFromString(frame)) {
        return makeFailure(FailureCode::MalformedMessage, "the frame is no message of the expected kind");
    }
    return message;
}

}
