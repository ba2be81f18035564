#pragma once

#include "commandgroup.h"
#include "editoptions.h"

#include <vector>

namespace RadishSwitch
{

/// `org`, `pool`, `route` and `group`: create, list, show, set and remove rows of one kind. `org` has verbs for API
/// keys besides.
class RowVerbs : public CommandGroup
{
public:
    RowVerbs(TableKind kind, std::string command, std::string description, std::string exampleName,
             std::string exampleCells);

    void addTo(CLI::App &parent, Command &chosen) override;

    // One verb each under any name, for `table set organisation NAME` and the like.
    void addListVerb(CLI::App &parent, const std::string &name, Command &chosen);
    void addShowVerb(CLI::App &parent, const std::string &name, Command &chosen);
    void addCreateVerb(CLI::App &parent, const std::string &name, Command &chosen);
    void addSetVerb(CLI::App &parent, const std::string &name, Command &chosen);
    void addRemoveVerb(CLI::App &parent, const std::string &name, Command &chosen);

private:
    void addKeyVerbs(CLI::App &group, Command &chosen);

    ExitCode create(CommandContext &context) const;
    ExitCode list(CommandContext &context) const;
    ExitCode show(CommandContext &context) const;
    ExitCode set(CommandContext &context) const;
    ExitCode remove(CommandContext &context) const;
    ExitCode addKey(CommandContext &context) const;
    ExitCode removeKey(CommandContext &context) const;

    absl::StatusOr<TableRow> presentRow(CommandContext &context) const;
    ExitCode setKeys(CommandContext &context, const TableRow &row, const std::vector<std::string> &keys,
                     const std::string &freshKey) const;
    ExitCode runEditWithKey(CommandContext &context, const TableChangePointer &change, const std::string &key) const;
    std::string exampleCall(const std::string &verb) const;

    const TableKind m_kind;
    const std::string m_command;
    const std::string m_description;
    const std::string m_exampleName;
    const std::string m_exampleCells;

    std::string m_name;
    std::vector<std::string> m_assignments;
    std::string m_keyHash;
    bool m_hasNoKey = false;
    std::uint64_t m_rowVersion = 0;
    EditOptions m_edit;
};

}
