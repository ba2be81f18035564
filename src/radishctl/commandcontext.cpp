#include "commandcontext.h"

#include "tableeditor.h"

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

absl::Status CommandContext::awaitStatus(const std::function<void(std::function<void(absl::Status)>)> &start)
{
    const auto result = std::make_shared<absl::Status>();
    m_environment.waiter.wait([&start, result](const std::function<void()> &done) {
        start([result, done](absl::Status status) {
            *result = std::move(status);
            done();
        });
    });
    return *result;
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
