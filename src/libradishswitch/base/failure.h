#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// All kinds of failures. Each has a stable name, which callers and operators see.
enum class FailureCode {
    Internal,
    // Errors of the caller.
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
    /// Endpoints have crashed while they ran this request, so it is not sent to further endpoints.
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
    /// It is not known at which software version the stream began that is to be continued.
    StreamOriginUnknown,
    /// No endpoint of the software version at which the stream began takes calls.
    StreamVersionGone,
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

/// What a caller may conclude from a failure about its request.
enum class RunOutcome {
    NotRun,
    Unknown,
};

/// The stable name of a code, such as "budget_exhausted".
std::string_view failureName(FailureCode code);

/// The code with this stable name, or nothing for an unknown name.
std::optional<FailureCode> failureFromName(std::string_view name);

/// The HTTP status with which the failure is reported to a caller.
int httpStatusOf(FailureCode code);

/// Creates a status that carries its code as a payload. `message` is for people only; no code evaluates it.
absl::Status makeFailure(FailureCode code, const std::string &message);

/// As above, with the time after which a retry can succeed.
absl::Status makeFailure(FailureCode code, const std::string &message, std::chrono::milliseconds retryAfter);

/// Marks the status as that of a call that may have taken effect. The caller must not conclude from it that its request
/// did not run.
absl::Status withUnknownOutcome(absl::Status status);

/// The code of a failed status. Internal when the status carries no code.
FailureCode failureCode(const absl::Status &status);

/// Whether a failed status means that nothing ran.
RunOutcome outcomeOf(const absl::Status &status);

/// The time after which to retry, if the failure states one.
std::optional<std::chrono::milliseconds> retryAfterOf(const absl::Status &status);

}
