#pragma once

#include "requests/home.h"
#include "wire.h"

namespace RadishSwitch
{

/// A question to a home as it travels. The deadline travels as what is left of it, since clocks differ.
wire::AdmitRequest admitQuestionToWire(const AdmissionQuery &question, Instant now);
AdmissionQuery admitQuestionFromWire(const wire::AdmitRequest &message, Instant now);

/// A decision as it travels. The moment at which a portion was confirmed travels as its age; `askedAt`, before the
/// question was sent, makes it no younger than it is.
wire::AdmitAnswer admitDecisionToWire(const absl::StatusOr<AdmitDecision> &decision, Instant now);
absl::StatusOr<AdmitDecision> admitDecisionFromWire(const wire::AdmitAnswer &message, Instant askedAt);

wire::Settle settlementToWire(const Settlement &settlement);
Settlement settlementFromWire(const wire::Settle &message);

}
