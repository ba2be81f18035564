#include "loadflags.h"
#include "loadrunner.h"
#include "programflags.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace RadishSwitch;

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
    if (const auto code = parseFlags(app, argc, argv)) {
        return *code;
    }
    const bool isDirect = directCommand->parsed();
    const auto settings = (isDirect ? direct : load).settings(isDirect);
    if (!settings.ok()) {
        return reportBadSettings(app, settings.status());
    }
    LoadRunner runner(*settings, (isDirect ? direct : load).threads());
    std::cout << runner.run() << std::endl;
    return 0;
}
