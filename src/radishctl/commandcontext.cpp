#include "commandcontext.h"

#include "table/tableeditor.h"

namespace RadishSwitch
{

CommandContext::CommandContext(CommandEnvironment environment, GlobalOptions options, std::ostream &out,
                               std::ostream &err)
    : m_environment(environment)
    , m_options(std::move(options))
    , m_output(out, err, m_options.output)
{
}

const CommandEnvironment &CommandContext::environment() const
{
    return m_environment;
}

const GlobalOptions &CommandContext::options() const
{
    return m_options;
}

Output &CommandContext::output()
{
    return m_output;
}

absl::Status CommandContext::awaitBoundedStatus(const std::function<void(std::function<void(absl::Status)>)> &start)
{
    const absl::StatusOr<bool> result =
        awaitBounded<bool>([&start](std::function<void(absl::StatusOr<bool>)> callback) {
            start([callback = std::move(callback)](const absl::Status &status) {
                callback(status.ok() ? absl::StatusOr<bool>(true) : absl::StatusOr<bool>(status));
            });
        });
    return result.status();
}

absl::StatusOr<TableDocument> CommandContext::readTable()
{
    TableEditor editor(m_environment.store, m_environment.timers, m_environment.tasks, m_environment.random);
    return await<TableDocument>([&editor](std::function<void(absl::StatusOr<TableDocument>)> callback) {
        editor.read(std::move(callback));
    });
}

ExitCode CommandContext::fail(const absl::Status &status)
{
    m_output.printFailure(status);
    return exitCodeOf(status);
}

}
