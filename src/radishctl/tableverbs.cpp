#include "tableverbs.h"

#include "table/tablecolumns.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

namespace RadishSwitch
{

namespace
{

std::string rangeOf(const TableColumn &column)
{
    if (column.type == CellType::Integer) {
        return absl::StrCat(column.minimum, " to ", column.maximum);
    }
    return expectedOf(column);
}

}

TableVerbs::TableVerbs()
{
    for (TableKind kind : kTableKinds) {
        m_rows.push_back(
            std::make_unique<RowVerbs>(kind, "table", "", std::string(tableKindName(kind)) + " NAME", "COLUMN=VALUE"));
    }
}

void TableVerbs::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *group = parent.add_subcommand("table", "The table: its rows, files, history and spread");
    group->require_subcommand(1);
    m_files.addTo(*group, chosen);
    addRowVerbs(*group, chosen);
    m_history.addTo(*group, chosen);
    m_wait.addTo(*group, chosen);
    addVerb(*group, "columns", "List the columns with units, ranges and defaults", "  radishctl table columns", chosen,
            printColumns);
}

void TableVerbs::addRowVerbs(CLI::App &group, Command &chosen)
{
    struct Verb {
        const char *name;
        const char *description;
        void (RowVerbs::*add)(CLI::App &, const std::string &, Command &);
    };
    for (const Verb &verb :
         {Verb{"show", "Show one row with every cell", &RowVerbs::addShowVerb},
          Verb{"add", "Add a row", &RowVerbs::addCreateVerb}, Verb{"set", "Set cells of a row", &RowVerbs::addSetVerb},
          Verb{"remove", "Remove a row", &RowVerbs::addRemoveVerb}}) {
        CLI::App *kinds = group.add_subcommand(verb.name, verb.description);
        kinds->require_subcommand(1);
        kinds->footer(absl::StrCat("Examples:\n  radishctl table ", verb.name, " organisation magnolia --help"));
        for (std::size_t n = 0; n < m_rows.size(); ++n) {
            (m_rows[n].get()->*verb.add)(*kinds, std::string(tableKindName(kTableKinds[n])), chosen);
        }
    }
}

ExitCode TableVerbs::printColumns(CommandContext &context)
{
    Sheet sheet{{"kind", "column", "unit", "range", "default", "meaning"}, {}};
    for (TableKind kind : kTableKinds) {
        const TableRow blank = defaultRow(kind, "");
        for (const TableColumn &column : columnsOf(kind)) {
            sheet.rows.push_back({std::string(tableKindName(kind)), std::string(column.name), std::string(column.unit),
                                  rangeOf(column), cellOf(blank, column.name), std::string(column.help)});
        }
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

}
