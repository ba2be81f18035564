#include "home.h"
#include "signals.h"

#include <cstdio>
#include <future>

int main(int argc, char **argv)
{
    using namespace RadishSwitch;

    BudgetHomeSettings settings;
    settings.instance = "home";
    SettingsParser parser("radishswitch-home",
                          "Holds portions of budgets beside an endpoint, against which gateways reserve tokens.");
    addBudgetHomeSettings(parser, settings);
    if (const std::optional<int> exitCode = parser.parseCommandLine(argc, argv)) {
        return *exitCode;
    }
    settings.log.format = LogFormat::Json;
    settings.log.isBuffered = true;
    configureLogs(settings.log);

    Home home(settings);
    std::promise<void> drained;
    const Signals signals(home.workers(), [&] {
        home.drain([&drained] {
            drained.set_value();
        });
    });
    if (const absl::Status status = home.start(); !status.ok()) {
        std::fprintf(stderr, "radishswitch-home: %s\n", std::string(status.message()).c_str());
        return 2;
    }
    drained.get_future().wait();
    home.workers().stop();
    return 0;
}
