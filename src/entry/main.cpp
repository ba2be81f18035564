#include "entry.h"
#include "signals.h"

#include <cstdio>
#include <future>
#include <mutex>

int main(int argc, char **argv)
{
    using namespace RadishSwitch;

    EntrySettings settings;
    SettingsParser parser("radishswitch-entry", "Takes callers' requests, holds budgets, and routes to endpoints.");
    addEntrySettings(parser, settings);
    if (const std::optional<int> exitCode = parser.parseCommandLine(argc, argv)) {
        return *exitCode;
    }
    configureLogs(settings.process.log);

    Entry entry(settings);
    std::promise<void> left;
    std::once_flag drains;
    const auto drain = [&] {
        std::call_once(drains, [&] {
            entry.drain([&left] {
                left.set_value();
            });
        });
    };
    entry.setDrainOrdered(drain);
    const Signals signals(entry.workers(), drain);
    if (const absl::Status status = entry.start(); !status.ok()) {
        std::fprintf(stderr, "radishswitch-entry: %s\n", std::string(status.message()).c_str());
        return 2;
    }
    std::printf("listening %s:%u\n", settings.listen.ip().c_str(), entry.port());
    std::fflush(stdout);
    left.get_future().wait();
    return 0;
}
