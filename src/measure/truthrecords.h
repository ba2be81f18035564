#pragma once

#include "tryrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What an endpoint really ran, as its stand-in wrote it down. Times are microseconds since 1970.
struct WorkRecord {
    std::uint64_t number = 0;
    std::string endpoint;
    std::string contentHash;
    bool isChat = true;
    /// Whether the whole answer left the endpoint.
    bool isDone = false;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Prompt tokens that the engine did not have to read.
    std::int64_t cachedTokens = 0;
    /// Tokens of the answer before those that this run made.
    std::int64_t continuedTokens = 0;
    bool isContinuationWrong = false;
    std::int64_t startTime = 0;
    std::int64_t endTime = 0;

    bool operator==(const WorkRecord &) const = default;
};

/// A portion of a budget as it stands in the ledger.
struct LedgerPortion {
    std::int64_t granted = 0;
    std::int64_t spent = 0;

    bool operator==(const LedgerPortion &) const = default;
};

/// A budget as it stands in the ledger.
struct LedgerBudget {
    /// "organisation/name".
    std::string name;
    std::int64_t paid = 0;
    std::int64_t settled = 0;
    std::vector<LedgerPortion> portions;

    bool operator==(const LedgerBudget &) const = default;
};

enum class ScenarioEventKind {
    /// `subject` is a budget, into which `tokens` were paid.
    TopUp,
    /// An endpoint that can work; `subject` is its name.
    EndpointUp,
    EndpointDown,
    /// An endpoint has begun to leave, or is back.
    EndpointLeaving,
    EndpointBack,
    /// A planned stop of a process of the fleet.
    StopBegin,
    StopEnd,
    /// A fault that callers may notice as a pause.
    Fault,
    /// The door at `subject` lies on the side `tokens` of a partition, counted from 0.
    DoorSide,
    /// No process of the fleet reaches the platform's store, or all do again.
    StoreDown,
    StoreUp,
};

/// What a scenario did, and when.
struct ScenarioEvent {
    std::int64_t time = 0;
    ScenarioEventKind kind = ScenarioEventKind::Fault;
    std::string subject;
    std::int64_t tokens = 0;

    bool operator==(const ScenarioEvent &) const = default;
};

/// All that a verdict is made from. None of it comes from the fleet's own counters.
struct TruthRecords {
    std::vector<WorkRecord> work;
    std::vector<TryRecord> tries;
    std::vector<LedgerBudget> ledger;
    std::vector<ScenarioEvent> events;
};

}
