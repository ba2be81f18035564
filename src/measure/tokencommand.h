#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// The subcommand "tokens": what has become of prepaid tokens, from logs.
class TokenCommand
{
public:
    void addTo(CLI::App &app);

    /// One JSON object; InvalidSettings for a file that can't be opened.
    absl::StatusOr<std::string> run() const;

private:
    std::vector<std::string> m_files;
};

}
