#include "loadflags.h"
#include "loadrunner.h"
#include "programflags.h"
#include "reportcommand.h"
#include "tokencommand.h"
#include "truthcommand.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace RadishSwitch;

namespace
{

constexpr int kBrokenPromiseExitCode = 1;

int offerLoad(const CLI::App &app, const LoadFlags &flags, bool isDirect)
{
    const auto settings = flags.settings(isDirect);
    if (!settings.ok()) {
        return reportBadSettings(app, settings.status());
    }
    LoadRunner runner(*settings, flags.threads());
    std::cout << runner.run() << std::endl;
    return 0;
}

template<typename Command>
int tellTruth(const CLI::App &app, const Command &command)
{
    const auto verdict = command.run();
    if (!verdict.ok()) {
        return reportBadSettings(app, verdict.status());
    }
    std::cout << *verdict << std::endl;
    return 0;
}

int printReport(const CLI::App &app, const ReportCommand &command)
{
    Report report;
    const absl::Status status = command.run(report);
    std::cout << report.toJson() << std::endl;
    if (!status.ok()) {
        return reportBadSettings(app, status);
    }
    return report.isBroken() ? kBrokenPromiseExitCode : 0;
}

}

int main(int argc, char **argv)
{
    CLI::App app("Offers load and judges what came of it.", "radishswitch-measure");
    app.require_subcommand(1);
    LoadFlags load;
    CLI::App *loadCommand = app.add_subcommand("load", "Offer load at the fleet's doors");
    load.addTo(*loadCommand);
    LoadFlags direct;
    CLI::App *directCommand = app.add_subcommand("direct", "Offer the same load straight at the engines");
    direct.addTo(*directCommand);
    TruthCommand truth;
    CLI::App *truthCommand = app.add_subcommand("truth", "Hold the records of all sides against one another");
    truth.addTo(*truthCommand);
    TokenCommand tokens;
    CLI::App *tokenCommand = app.add_subcommand("tokens", "Tell from logs what has become of prepaid tokens");
    tokens.addTo(*tokenCommand);
    ReportCommand report;
    CLI::App *reportCommand = app.add_subcommand("report", "Put figures into one line and judge them");
    report.addTo(*reportCommand);
    if (const auto code = parseFlags(app, argc, argv)) {
        return *code;
    }
    if (truthCommand->parsed()) {
        return tellTruth(app, truth);
    }
    if (tokenCommand->parsed()) {
        return tellTruth(app, tokens);
    }
    if (reportCommand->parsed()) {
        return printReport(app, report);
    }
    const bool isDirect = directCommand->parsed();
    return offerLoad(app, isDirect ? direct : load, isDirect);
}
