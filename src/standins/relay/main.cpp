#include "programflags.h"
#include "relayserver.h"
#include "socketaddress.h"
#include "standinprogram.h"
#include "workerpool.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

using namespace RadishSwitch;

int main(int argc, char **argv)
{
    CLI::App app("Relay of TCP connections that can be told to fail, for tests and measurements.", "standin-relay");
    std::string control = "127.0.0.1:0";
    std::vector<std::string> forwards;
    app.add_option("--listen", control, "Address and port of the control door")->capture_default_str();
    app.add_option("--forward", forwards, "LISTEN=TARGET[,GROUP], each ADDRESS:PORT")->required();
    if (const auto code = parseFlags(app, argc, argv)) {
        return *code;
    }
    std::vector<LinkSettings> links;
    for (const std::string &text : forwards) {
        const auto link = linkSettingsOfFlag(text);
        if (!link.ok()) {
            return reportBadSettings(app, link.status());
        }
        links.push_back(*link);
    }
    const auto address = parseSocketAddress(control);
    if (!address.ok()) {
        return reportBadSettings(app, address.status());
    }
    WorkerPool workers(1);
    RelayServer server(workers, links);
    const absl::Status status = server.listen(*address);
    if (!status.ok()) {
        return reportBadSettings(app, status);
    }
    runUntilStopped(workers, SocketAddress(address->ip(), server.port()));
    return 0;
}
