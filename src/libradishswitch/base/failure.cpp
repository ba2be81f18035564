#include "base/failure.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

#include <array>

namespace RadishSwitch
{

namespace
{

constexpr char kCodePayload[] = "radishswitch/failure";
constexpr char kRetryAfterPayload[] = "radishswitch/retry-after-ms";
constexpr char kOutcomePayload[] = "radishswitch/outcome-unknown";

struct FailureKind {
    FailureCode code;
    std::string_view name;
    int httpStatus;
    absl::StatusCode statusCode;
};

constexpr std::array kFailureKinds{
    FailureKind{FailureCode::Internal, "internal", 500, absl::StatusCode::kInternal},
    FailureKind{FailureCode::InvalidRequest, "invalid_request", 400, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::MissingKey, "missing_key", 401, absl::StatusCode::kUnauthenticated},
    FailureKind{FailureCode::UnknownKey, "unknown_key", 401, absl::StatusCode::kUnauthenticated},
    FailureKind{FailureCode::UnknownRoute, "unknown_route", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::UnknownModel, "unknown_model", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::BodyTooLarge, "body_too_large", 413, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::HeaderTooLarge, "header_too_large", 431, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::KeyReusedForOtherBody, "key_reused_for_other_body", 422,
                absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::BudgetExhausted, "budget_exhausted", 402, absl::StatusCode::kResourceExhausted},
    FailureKind{FailureCode::BudgetLow, "budget_low", 429, absl::StatusCode::kResourceExhausted},
    FailureKind{FailureCode::BudgetUnknown, "budget_unknown", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::BudgetUnavailable, "budget_unavailable", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::LedgerLate, "ledger_late", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::CeilingReached, "ceiling_reached", 429, absl::StatusCode::kResourceExhausted},
    FailureKind{FailureCode::RequestTooLarge, "request_too_large", 400, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::Overloaded, "overloaded", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::DeadlineExceeded, "deadline_exceeded", 504, absl::StatusCode::kDeadlineExceeded},
    FailureKind{FailureCode::PoisonRequest, "poison_request", 429, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::NoEndpoint, "no_endpoint", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::EndpointFailed, "endpoint_failed", 502, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::EndpointLeaving, "endpoint_leaving", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::AttemptBarred, "attempt_barred", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::PortionClosed, "portion_closed", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::StaleEpoch, "stale_epoch", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::StaleFence, "stale_fence", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::RunUnknown, "run_unknown", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::AnswerGone, "answer_gone", 410, absl::StatusCode::kDataLoss},
    FailureKind{FailureCode::StreamOriginUnknown, "stream_origin_unknown", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::StreamVersionGone, "stream_version_gone", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::OutcomeUnknown, "outcome_unknown", 503, absl::StatusCode::kUnknown},
    FailureKind{FailureCode::HomeUnreachable, "home_unreachable", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::HomeElsewhere, "home_elsewhere", 503, absl::StatusCode::kFailedPrecondition},
    FailureKind{FailureCode::Draining, "draining", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::ConnectionLost, "connection_lost", 502, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::ConnectionSilent, "connection_silent", 504, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::MalformedMessage, "malformed_message", 502, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::MessageTooLarge, "message_too_large", 502, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::Unauthenticated, "unauthenticated", 401, absl::StatusCode::kUnauthenticated},
    FailureKind{FailureCode::StoreUnavailable, "store_unavailable", 503, absl::StatusCode::kUnavailable},
    FailureKind{FailureCode::StoreTimeout, "store_timeout", 503, absl::StatusCode::kDeadlineExceeded},
    FailureKind{FailureCode::VersionConflict, "version_conflict", 409, absl::StatusCode::kAborted},
    FailureKind{FailureCode::ObjectMissing, "object_missing", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::ObjectTooLarge, "object_too_large", 413, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::ObjectMalformed, "object_malformed", 500, absl::StatusCode::kDataLoss},
    FailureKind{FailureCode::HistoryGone, "history_gone", 410, absl::StatusCode::kOutOfRange},
    FailureKind{FailureCode::TableInvalid, "table_invalid", 400, absl::StatusCode::kInvalidArgument},
    FailureKind{FailureCode::RowConflict, "row_conflict", 409, absl::StatusCode::kAborted},
    FailureKind{FailureCode::RowMissing, "row_missing", 404, absl::StatusCode::kNotFound},
    FailureKind{FailureCode::InvalidSettings, "invalid_settings", 400, absl::StatusCode::kInvalidArgument},
};

const FailureKind &kindOf(FailureCode code)
{
    for (const FailureKind &kind : kFailureKinds) {
        if (kind.code == code) {
            return kind;
        }
    }
    return kFailureKinds.front();
}

}

std::string_view failureName(FailureCode code)
{
    return kindOf(code).name;
}

std::optional<FailureCode> failureFromName(std::string_view name)
{
    for (const FailureKind &kind : kFailureKinds) {
        if (kind.name == name) {
            return kind.code;
        }
    }
    return std::nullopt;
}

int httpStatusOf(FailureCode code)
{
    return kindOf(code).httpStatus;
}

absl::Status makeFailure(FailureCode code, const std::string &message)
{
    const FailureKind &kind = kindOf(code);
    absl::Status status(kind.statusCode, message);
    status.SetPayload(kCodePayload, absl::Cord(std::string(kind.name)));
    return status;
}

absl::Status makeFailure(FailureCode code, const std::string &message, std::chrono::milliseconds retryAfter)
{
    absl::Status status = makeFailure(code, message);
    status.SetPayload(kRetryAfterPayload, absl::Cord(std::to_string(retryAfter.count())));
    return status;
}

absl::Status withUnknownOutcome(absl::Status status)
{
    status.SetPayload(kOutcomePayload, absl::Cord("unknown"));
    return status;
}

FailureCode failureCode(const absl::Status &status)
{
    const auto payload = status.GetPayload(kCodePayload);
    if (!payload) {
        return FailureCode::Internal;
    }
    return failureFromName(std::string(*payload)).value_or(FailureCode::Internal);
}

RunOutcome outcomeOf(const absl::Status &status)
{
    return status.GetPayload(kOutcomePayload) ? RunOutcome::Unknown : RunOutcome::NotRun;
}

std::optional<std::chrono::milliseconds> retryAfterOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(kRetryAfterPayload);
    std::int64_t n = 0;
    if (!payload || !absl::SimpleAtoi(std::string(*payload), &n)) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(n);
}

}
