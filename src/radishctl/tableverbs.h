#pragma once

#include "commandgroup.h"
#include "rowverbs.h"
#include "tablefileverbs.h"
#include "tablehistoryverbs.h"
#include "tablewaitverb.h"

#include <memory>
#include <vector>

namespace RadishSwitch
{

/// `table ...`: everything that is done with the table as a whole, and its rows by kind.
class TableVerbs : public CommandGroup
{
public:
    TableVerbs();

    void addTo(CLI::App &parent, Command &chosen) override;

private:
    void addRowVerbs(CLI::App &group, Command &chosen);
    static ExitCode printColumns(CommandContext &context);

    TableFileVerbs m_files;
    TableHistoryVerbs m_history;
    TableWaitVerb m_wait;
    std::vector<std::unique_ptr<RowVerbs>> m_rows;
};

}
