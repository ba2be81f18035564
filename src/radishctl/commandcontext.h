#pragma once

#include "adminport.h"
#include "base/callbackwithtimeout.h"
#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "budgets/ledgereditor.h"
#include "exitcode.h"
#include "globaloptions.h"
#include "output.h"
#include "table/tabledocument.h"
#include "waiter.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>

namespace RadishSwitch
{

/// What a command works with. The members must outlive it.
struct CommandEnvironment {
    ObjectStore &store;
    TimerService &timers;
    TaskQueue &tasks;
    RandomSource &random;
    LedgerEditor &budgets;
    AdminPort &admin;
    Waiter &waiter;
};

/// One command on its way: its surroundings, its options, its output.
class CommandContext
{
public:
    CommandContext(CommandEnvironment environment, GlobalOptions options, std::ostream &out, std::ostream &err);

    const CommandEnvironment &environment() const;
    const GlobalOptions &options() const;
    Output &output();

    /// Waits for the one call of the callback that `start` gets.
    template<typename T>
    absl::StatusOr<T> await(const std::function<void(std::function<void(absl::StatusOr<T>)>)> &start)
    {
        const auto result = std::make_shared<std::optional<absl::StatusOr<T>>>();
        m_environment.waiter.wait([&start, result](const std::function<void()> &done) {
            start([result, done](absl::StatusOr<T> answer) {
                *result = std::move(answer);
                done();
            });
        });
        return **std::move(result);
    }

    /// As `await`, and StoreTimeout after a minute: a change of the ledger is tried for ever, but an operator does not
    /// wait so long.
    template<typename T>
    absl::StatusOr<T> awaitBounded(const std::function<void(std::function<void(absl::StatusOr<T>)>)> &start)
    {
        return await<T>([this, &start](std::function<void(absl::StatusOr<T>)> callback) {
            start(callbackWithTimeout<T>(m_environment.timers, kLongestWait, std::move(callback)));
        });
    }

    /// As `awaitBounded`, for work that gives no value.
    absl::Status awaitBoundedStatus(const std::function<void(std::function<void(absl::Status)>)> &start);

    /// The table as the store has it.
    absl::StatusOr<TableDocument> readTable();

    /// Prints the failure and gives the exit code for it.
    ExitCode fail(const absl::Status &status);

private:
    static constexpr Duration kLongestWait = std::chrono::minutes(1);

    CommandEnvironment m_environment;
    GlobalOptions m_options;
    Output m_output;
};

}
