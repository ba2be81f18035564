#pragma once

#include "commandgroup.h"
#include "editoptions.h"
#include "table/tableplan.h"

namespace RadishSwitch
{

/// `table export|plan|apply`: the table as files.
class TableFileVerbs : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    struct Planned {
        std::uint64_t revision = 0;
        TablePlan plan;
    };

    ExitCode exportTable(CommandContext &context) const;
    ExitCode exportFolder(CommandContext &context, const TableRows &rows) const;
    ExitCode plan(CommandContext &context) const;
    ExitCode apply(CommandContext &context) const;
    absl::StatusOr<std::optional<TableKind>> kind() const;
    absl::StatusOr<Planned> makePlan(CommandContext &context) const;

    std::string m_path;
    std::string m_kind;
    std::string m_folder;
    bool m_prunes = false;
    EditOptions m_edit;
};

}
