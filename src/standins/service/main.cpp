#include "programflags.h"
#include "serviceserver.h"
#include "socketaddress.h"
#include "standinprogram.h"
#include "workerpool.h"

#include <CLI/CLI.hpp>

using namespace RadishSwitch;

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a plain service, for tests and measurements.", "standin-service");
    std::string listen = "127.0.0.1:0";
    std::string name = "service";
    std::string recordFile;
    int threads = 1;
    int capacity = 256;
    app.add_option("--listen", listen, "Address and port; port 0 takes a free one")->capture_default_str();
    app.add_option("--name", name, "Name in records")->capture_default_str();
    app.add_option("--capacity", capacity, "Calls at once that load reports give")->capture_default_str();
    app.add_option("--threads", threads, "Worker threads")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--record", recordFile, "File to which each execution is appended as JSON");
    if (const auto code = parseFlags(app, argc, argv)) {
        return *code;
    }
    const auto address = parseSocketAddress(listen);
    if (!address.ok()) {
        return reportBadSettings(app, address.status());
    }
    WorkerPool workers(threads);
    ServiceServer server(workers, name, capacity, recordFile);
    const absl::Status status = server.listen(*address);
    if (!status.ok()) {
        return reportBadSettings(app, status);
    }
    runUntilStopped(workers, SocketAddress(address->ip(), server.port()));
    return 0;
}
