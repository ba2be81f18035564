#pragma once

#include "truthrecords.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Collects records from files: what the stand-ins and the platform answered, the load's log, the scenario's events.
class TruthReader
{
public:
    /// What /standin/runs of an engine or a service answered, or the file to which it appended each run. A run that
    /// stands there twice counts as it stood last. `isChat` tells an engine.
    absl::Status addRuns(std::string_view text, bool isChat);

    /// What the platform answered for the objects under "ledger/".
    absl::Status addLedger(std::string_view text);

    /// Lines of TryRecords.
    absl::Status addTries(std::string_view text);

    /// Lines of {"time_us", "event", "subject", "tokens"}.
    absl::Status addEvents(std::string_view text);

    const TruthRecords &records() const;

private:
    TruthRecords m_records;
};

/// The whole of a file. InvalidSettings when it can't be read.
absl::StatusOr<std::string> readFile(const std::string &name);

}
