#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Every way in which something can fail, each with a stable name that callers and operators see.
enum class FailureCode {
    Internal,
    // What callers did wrong.
    InvalidRequest,
    MissingKey,
    UnknownKey,
    UnknownRoute,
    UnknownModel,
    BodyTooLarge,
    HeaderTooLarge,
    KeyReusedForOtherBody,
    // Budgets and limits.
    BudgetExhausted,
    BudgetLow,
    BudgetUnknown,
    BudgetUnavailable,
    LedgerLate,
    CeilingReached,
    RequestTooLarge,
    Overloaded,
    DeadlineExceeded,
    /// Endpoints have crashed under this request; it is kept from the others.
    PoisonRequest,
    // Endpoints and runs.
    NoEndpoint,
    EndpointFailed,
    EndpointLeaving,
    AttemptBarred,
    PortionClosed,
    StaleEpoch,
    StaleFence,
    RunUnknown,
    AnswerGone,
    OutcomeUnknown,
    // The fleet.
    HomeUnreachable,
    HomeElsewhere,
    Draining,
    ConnectionLost,
    ConnectionSilent,
    MalformedMessage,
    MessageTooLarge,
    Unauthenticated,
    // The platform's object store.
    StoreUnavailable,
    StoreTimeout,
    VersionConflict,
    ObjectMissing,
    ObjectTooLarge,
    ObjectMalformed,
    HistoryGone,
    // The table.
    TableInvalid,
    RowConflict,
    RowMissing,
    // Programs.
    InvalidSettings,
};

/// What a caller may take a failure to mean for its request.
enum class RunOutcome {
    NotRun,
    Unknown,
};

/// The stable name of a code, such as "budget_exhausted".
std::string_view failureName(FailureCode code);

/// The code of a stable name, or nothing when there is none such.
std::optional<FailureCode> failureFromName(std::string_view name);

/// The HTTP status with which a caller learns of a failure.
int httpStatusOf(FailureCode code);

/// A status that carries its code as a payload. `message` is for people only; no code reads it.
absl::Status makeFailure(FailureCode code, const std::string &message);

/// As above, with the time after which a new try can succeed.
absl::Status makeFailure(FailureCode code, const std::string &message, std::chrono::milliseconds retryAfter);

/// The same status, marked as one that may have taken effect: a caller must not read "not run" from it.
absl::Status withUnknownOutcome(absl::Status status);

/// The code of a failed status. A status that carries none is Internal.
FailureCode failureCode(const absl::Status &status);

/// Whether a failed status says that nothing ran.
RunOutcome outcomeOf(const absl::Status &status);

/// When to come back, where the failure says so.
std::optional<std::chrono::milliseconds> retryAfterOf(const absl::Status &status);

}
