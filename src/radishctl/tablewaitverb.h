#pragma once

#include "commandgroup.h"

#include <cstdint>
#include <vector>

namespace RadishSwitch
{

/// `table wait`: until a revision is in force in every entry, or who lacks it.
class TableWaitVerb : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    ExitCode wait(CommandContext &context) const;

    std::uint64_t m_revision = 0;
    double m_seconds = 10;
    std::vector<std::string> m_admins;
};

}
