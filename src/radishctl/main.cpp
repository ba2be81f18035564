#include "asiotimerservice.h"
#include "base/failure.h"
#include "blockingwaiter.h"
#include "budgets/ledger.h"
#include "budgets/ledgereditor.h"
#include "httpadminport.h"
#include "httpobjectstore.h"
#include "radishctlapp.h"
#include "socketaddress.h"
#include "systemrandom.h"
#include "workerpool.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <unistd.h>

using namespace RadishSwitch;

namespace
{

/// One thread, so that the ledger and the edits, which have no locks, run on it alone.
constexpr int kWorkers = 1;
/// Listing the ledger reads every shard; an operator should not wait for it longer than the store needs.
constexpr double kLedgerCallsPerSecond = 500;

/// What commands work with, once the platform's address is known.
struct Session {
    Session(WorkerPool &workers, AsioTimerService &timers, const GlobalOptions &options)
        : store(workers, options.platform)
        , ledger(store, timers, random, ledgerSettings(options))
        , budgets(ledger, timers, workers)
        , admin(workers)
        , waiter(workers)
    {
    }

    static LedgerSettings ledgerSettings(const GlobalOptions &options)
    {
        LedgerSettings settings;
        settings.shardCount = options.ledgerShards;
        settings.storeCallsPerSecond = kLedgerCallsPerSecond;
        settings.storeCallBurst = kLedgerCallsPerSecond;
        return settings;
    }

    SystemRandom random;
    HttpObjectStore store;
    Ledger ledger;
    LedgerEditor budgets;
    HttpAdminPort admin;
    BlockingWaiter waiter;
};

std::string hostName()
{
    char buf[256] = {};
    return gethostname(buf, sizeof buf - 1) == 0 ? buf : "unknown";
}

std::string userName()
{
    const char *name = std::getenv("USER");
    return name ? name : "";
}

/// The trail names who did it; a fleet steered by nobody cannot be asked back.
absl::Status checkOptions(const GlobalOptions &options)
{
    const absl::StatusOr<SocketAddress> platform = parseSocketAddress(options.platform);
    if (!platform.ok()) {
        return makeFailure(FailureCode::InvalidSettings,
                           "--platform or RADISHSWITCH_PLATFORM should be IP:PORT of the platform's object API");
    }
    if (options.operatorName.empty()) {
        return makeFailure(FailureCode::InvalidSettings, "--operator or RADISHSWITCH_OPERATOR should be your name");
    }
    return absl::OkStatus();
}

}

int main(int argc, char **argv)
{
    WorkerPool workers(kWorkers);
    AsioTimerService timers(workers);
    std::unique_ptr<Session> session;
    GlobalOptions defaults;
    defaults.operatorName = userName();
    defaults.fromWhere = hostName();
    const auto makeEnvironment = [&](const GlobalOptions &options) -> absl::StatusOr<CommandEnvironment> {
        const absl::Status status = checkOptions(options);
        if (!status.ok()) {
            return status;
        }
        session = std::make_unique<Session>(workers, timers, options);
        workers.start();
        return CommandEnvironment{session->store,   timers,         workers,        session->random,
                                  session->budgets, session->admin, session->waiter};
    };
    RadishctlApp app(makeEnvironment, defaults, std::cout, std::cerr);
    const ExitCode code = app.run({argv + 1, argv + argc});
    // No callback may find the session gone.
    workers.stop();
    return static_cast<int>(code);
}
