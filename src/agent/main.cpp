#include "agentprogram.h"
#include "log.h"
#include "signals.h"

#include <iostream>

using namespace RadishSwitch;

namespace
{

constexpr int kInvalidSettingsExitCode = 2;
constexpr int kCutOffExitCode = 1;

}

int main(int argc, char **argv)
{
    AgentSettings settings;
    SettingsParser parser("radishswitch-agent",
                          "Runs beside one endpoint: the only process that talks to it, and the fleet's record of what "
                          "it ran.");
    addAgentSettings(parser, settings);
    if (const std::optional<int> exitCode = parser.parseCommandLine(argc, argv)) {
        return *exitCode;
    }
    configureLogs(settings.process.log);
    AgentProgram program(settings);
    const absl::Status status = program.start();
    if (!status.ok()) {
        std::cerr << "radishswitch-agent: " << status.message() << '\n';
        return kInvalidSettingsExitCode;
    }
    std::cout << "listening " << settings.listen.toString() << std::endl;
    const Signals signals(program.workers(), [&program] {
        program.leave();
    });
    const int cutOff = program.waitUntilLeft();
    const Log log("agent");
    if (cutOff > 0) {
        log.error("the drain timeout cut runs off", {field("runs", cutOff)});
        return kCutOffExitCode;
    }
    log.info("left");
    return 0;
}
