#include "engineserver.h"
#include "programflags.h"
#include "socketaddress.h"
#include "standinprogram.h"
#include "workerpool.h"

#include <CLI/CLI.hpp>

using namespace RadishSwitch;

namespace
{

void addSettings(CLI::App &app, EngineSettings &settings, int &loadLag, int &eventDelay)
{
    app.add_option("--name", settings.name, "Name in records and answers")->capture_default_str();
    app.add_option("--model", settings.models, "Models that are loaded at the start")->capture_default_str();
    app.add_option("--adapter", settings.adapters, "Adapters that are loaded at the start");
    app.add_option("--model-version", settings.version, "Version of the models")->capture_default_str();
    app.add_option("--software-version", settings.softwareVersion, "Version of the engine's software")
        ->capture_default_str();
    app.add_option("--slots", settings.slots, "Runs in the batch at once")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--tokens-per-second", settings.tokensPerSecond, "Speed of a run alone in the batch")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--batch-slowdown", settings.batchSlowdown, "Share by which each further run slows all")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--prefill-tokens-per-second", settings.prefillTokensPerSecond, "Speed of reading prompts")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--cache-blocks", settings.cacheBlocks, "Blocks in the prefix cache")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--load-lag-ms", loadLag, "Age of the load in reports")->check(CLI::NonNegativeNumber);
    app.add_option("--cache-event-delay-ms", eventDelay, "Delay of cache events")->check(CLI::NonNegativeNumber);
    app.add_flag("--checks-fence", settings.isFenceChecked, "Refuse orders with an old fencing number");
    app.add_option("--record", settings.recordFile, "File to which each run is appended as JSON");
}

}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a model engine, for tests and measurements.", "standin-engine");
    std::string listen = "127.0.0.1:0";
    int threads = 1;
    int loadLag = 0;
    int eventDelay = 0;
    EngineSettings settings;
    app.add_option("--listen", listen, "Address and port; port 0 takes a free one")->capture_default_str();
    app.add_option("--threads", threads, "Worker threads")->check(CLI::PositiveNumber)->capture_default_str();
    addSettings(app, settings, loadLag, eventDelay);
    if (const auto code = parseFlags(app, argc, argv)) {
        return *code;
    }
    settings.loadLag = std::chrono::milliseconds(loadLag);
    settings.cacheEventDelay = std::chrono::milliseconds(eventDelay);

    const auto address = parseSocketAddress(listen);
    if (!address.ok()) {
        return reportBadSettings(app, address.status());
    }
    WorkerPool workers(threads);
    EngineServer server(workers, settings);
    const absl::Status status = server.listen(*address);
    if (!status.ok()) {
        return reportBadSettings(app, status);
    }
    runUntilStopped(workers, SocketAddress(address->ip(), server.port()));
    return 0;
}
