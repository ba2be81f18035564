#pragma once

#include "commandgroup.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// `audit`: who changed what, in the table and in the ledger.
class AuditVerb : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    /// One line of the trail.
    struct Entry {
        std::int64_t wallClockMs = 0;
        std::string who;
        std::string fromWhere;
        std::string what;
        std::string why;
    };

    ExitCode audit(CommandContext &context) const;
    absl::Status addTableEntries(CommandContext &context, std::int64_t sinceMs, std::vector<Entry> &entries) const;
    absl::Status addLedgerEntries(CommandContext &context, std::int64_t sinceMs, std::vector<Entry> &entries) const;

    std::string m_since = "7d";
    std::string m_organisation;
    bool m_isTableOnly = false;
};

}
