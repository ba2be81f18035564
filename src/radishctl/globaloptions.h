#pragma once

#include "budgets/ledgersettings.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

enum class OutputFormat {
    Table,
    Json,
};

/// What every verb takes.
struct GlobalOptions {
    /// "ip:port" of the platform's object API.
    std::string platform;
    /// Who is working, for the audit trail.
    std::string operatorName;
    /// From where, for the audit trail.
    std::string fromWhere;
    OutputFormat output = OutputFormat::Table;
    /// As the entries are set.
    std::uint32_t ledgerShards = LedgerSettings().shardCount;

    bool operator==(const GlobalOptions &) const = default;
};

}
