#pragma once

#include "commandgroup.h"
#include "table/tableeditor.h"

namespace RadishSwitch
{

/// `table history|diff`: what was changed, by whom, between which revisions.
class TableHistoryVerbs : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    ExitCode history(CommandContext &context) const;
    ExitCode diff(CommandContext &context) const;

    std::string m_row;
    std::string m_since;
    std::size_t m_limit = 20;
    std::uint64_t m_fromRevision = 0;
    std::uint64_t m_toRevision = 0;
};

/// Audit records of the table, newest first.
absl::StatusOr<std::vector<AuditRecord>> readHistory(CommandContext &context, const HistoryRange &range);

}
