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

/// The verb `truth`: reads records from files and prints the verdict.
class TruthCommand
{
public:
    void addTo(CLI::App &app);

    /// The verdict as one JSON object. InvalidSettings or MalformedMessage when a file can't be read.
    absl::StatusOr<std::string> run() const;

private:
    std::vector<std::string> m_engineRuns;
    std::vector<std::string> m_serviceRuns;
    std::vector<std::string> m_ledgers;
    std::vector<std::string> m_logs;
    std::vector<std::string> m_events;
};

}
