#pragma once

#include "commandcontext.h"

#include <functional>
#include <string>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// What the command line asked for.
using Command = std::function<ExitCode(CommandContext &)>;

/// Verbs that belong together, with the storage of their options.
class CommandGroup
{
public:
    virtual ~CommandGroup() = default;

    /// Adds the verbs to a parser. Parsing one of them sets `chosen`. The group must outlive the command.
    virtual void addTo(CLI::App &parent, Command &chosen) = 0;

protected:
    /// Adds one verb with the examples that its help shows.
    static CLI::App *addVerb(CLI::App &parent, const std::string &name, const std::string &description,
                             const std::string &examples, Command &chosen, Command command);
};

}
