#pragma once

#include "commandgroup.h"

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// The program's command line: parses it, and runs the verb that it names.
class RadishctlApp
{
public:
    /// Makes what commands work with, once the options are known; the failure of wrong ones.
    using EnvironmentFactory = std::function<absl::StatusOr<CommandEnvironment>(const GlobalOptions &)>;

    RadishctlApp(EnvironmentFactory factory, GlobalOptions defaults, std::ostream &out, std::ostream &err);
    ~RadishctlApp();

    /// Gives the exit code. Arguments are without the program's name.
    ExitCode run(std::vector<std::string> arguments);

private:
    void addGlobalOptions();
    void addGroups();
    ExitCode runChosen();

    EnvironmentFactory m_factory;
    std::ostream &m_out;
    std::ostream &m_err;
    std::unique_ptr<CLI::App> m_app;
    GlobalOptions m_options;
    std::vector<std::unique_ptr<CommandGroup>> m_groups;
    Command m_chosen;
};

}
