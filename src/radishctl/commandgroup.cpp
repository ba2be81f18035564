#include "commandgroup.h"

#include <CLI/CLI.hpp>

namespace RadishSwitch
{

CLI::App *CommandGroup::addVerb(CLI::App &parent, const std::string &name, const std::string &description,
                                const std::string &examples, Command &chosen, Command command)
{
    CLI::App *verb = parent.add_subcommand(name, description);
    verb->footer("Examples:\n" + examples);
    verb->callback([&chosen, command = std::move(command)] {
        chosen = command;
    });
    return verb;
}

}
