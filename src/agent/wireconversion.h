#pragma once

#include "agentport.h"
#include "wiremessages.h"

#include <absl/status/status.h>

namespace RadishSwitch
{

/// A failed status as it travels: its stable code, message, outcome and the time to come back.
wire::Failure toWire(const absl::Status &status);

wire::RunState toWire(RunState state);

/// A record as it travels. The endpoint's name is the agent's to add.
wire::RunRecord toWire(const RunRecord &record);

wire::PortionCharges toWire(const PortionCharges &charges);

}
