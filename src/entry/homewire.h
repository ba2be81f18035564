#pragma once

#include "home.h"
#include "wire.h"

namespace RadishSwitch
{

/// A question to a home as it travels. The deadline travels as what is left of it, since clocks differ.
wire::AdmitRequest admitQuestionToWire(const AdmitQuestion &question, Instant now);
AdmitQuestion admitQuestionFromWire(const wire::AdmitRequest &message, Instant now);

wire::AdmitAnswer admitDecisionToWire(const absl::StatusOr<AdmitDecision> &decision);
absl::StatusOr<AdmitDecision> admitDecisionFromWire(const wire::AdmitAnswer &message);

wire::Settle settlementToWire(const Settlement &settlement);
Settlement settlementFromWire(const wire::Settle &message);

}
