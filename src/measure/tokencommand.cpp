#include "tokencommand.h"

#include "base/failure.h"
#include "tokenaudit.h"

#include <CLI/CLI.hpp>

#include <fstream>

namespace RadishSwitch
{

void TokenCommand::addTo(CLI::App &app)
{
    app.add_option("files", m_files, "logs of gateways and homes, each in the order of time")->required();
}

absl::StatusOr<std::string> TokenCommand::run() const
{
    TokenAudit audit;
    for (const std::string &name : m_files) {
        std::ifstream file(name);
        if (!file) {
            return makeFailure(FailureCode::InvalidSettings, name + " can't be opened");
        }
        audit.read(file);
    }
    return audit.toJson();
}

}
