#include "commonsettings.h"
#include "log.h"
#include "platformserver.h"
#include "signals.h"

#include <iostream>
#include <latch>

using namespace RadishSwitch;

namespace
{

const Log kLog("platform");

struct Settings {
    ProcessSettings process;
    PlatformSettings platform;
    int port = 0;
    int controlPort = -1;
    int seed = 1;
};

void addSettings(SettingsParser &parser, Settings &settings)
{
    constexpr int kHighestPort = 65535;
    constexpr int kHighestRate = 1'000'000;
    FaultPlan &faults = settings.platform.faults;
    addProcessSettings(parser, settings.process);
    parser.addNumber("port", settings.port, 0, kHighestPort, "Port of the object API; 0 takes a free one");
    parser.addNumber("control-port", settings.controlPort, -1, kHighestPort,
                     "Port of /standin/ alone, so that connections to the objects can be refused; -1 for none");
    parser.addNumber("seed", settings.seed, 0, kHighestRate, "Seed of the faults that are drawn at random");
    parser.addNumber("reads-per-second", faults.readsPerSecond, 0, kHighestRate,
                     "Reads above it get 429; 0 for no limit");
    parser.addNumber("writes-per-second", faults.writesPerSecond, 0, kHighestRate,
                     "Writes above it get 429; 0 for no limit");
    parser.add("list-lag", faults.listLag, "How late the list of instances shows a change");
    parser.add("latency", faults.latency, "How long each call waits");
}

int run(const Settings &settings)
{
    std::latch stopped(1);
    WorkerPool workers(settings.process.workers);
    PlatformServer server(workers, settings.platform);
    const absl::Status status = server.listen();
    if (!status.ok()) {
        std::cerr << "standin-platform: " << std::string(status.message()) << "\n";
        return 2;
    }
    const Signals signals(workers, [&server, &stopped] {
        server.stop([&stopped] {
            stopped.count_down();
        });
    });
    workers.start();
    std::cout << "listening " << SocketAddress(settings.platform.address, server.port()).toString();
    if (settings.platform.hasControlPort) {
        std::cout << " control " << SocketAddress(settings.platform.address, server.controlPort()).toString();
    }
    std::cout << std::endl;
    stopped.wait();
    workers.stop();
    kLog.info("stopped");
    return 0;
}

}

int main(int argc, char **argv)
{
    Settings settings;
    SettingsParser parser("standin-platform", "The platform's object API in memory, with faults, for tests.");
    addSettings(parser, settings);
    if (const auto exitCode = parser.parseCommandLine(argc, argv)) {
        return *exitCode;
    }
    settings.platform.address = settings.process.address;
    settings.platform.port = static_cast<std::uint16_t>(settings.port);
    settings.platform.hasControlPort = settings.controlPort >= 0;
    settings.platform.controlPort = static_cast<std::uint16_t>(std::max(settings.controlPort, 0));
    settings.platform.seed = static_cast<std::uint64_t>(settings.seed);
    configureLogs(settings.process.log);
    return run(settings);
}
