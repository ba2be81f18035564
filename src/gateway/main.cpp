#include "gateway.h"
#include "signals.h"

#include <cstdio>
#include <future>

int main(int argc, char **argv)
{
    using namespace RadishSwitch;

    GatewaySettings settings;
    SettingsParser parser("radishswitch-gateway", "Accepts calls from callers and sends them directly to endpoints.");
    addGatewaySettings(parser, settings);
    if (const std::optional<int> exitCode = parser.parseCommandLine(argc, argv)) {
        return *exitCode;
    }
    settings.log.format = LogFormat::Json;
    settings.log.isBuffered = true;
    configureLogs(settings.log);

    Gateway gateway(settings);
    std::promise<void> drained;
    const Signals signals(gateway.workers(), [&] {
        gateway.drain([&drained] {
            drained.set_value();
        });
    });
    if (const absl::Status status = gateway.start(); !status.ok()) {
        std::fprintf(stderr, "radishswitch-gateway: %s\n", std::string(status.message()).c_str());
        return 2;
    }
    drained.get_future().wait();
    gateway.workers().stop();
    return 0;
}
