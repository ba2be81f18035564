#pragma once

#include "report.h"

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// The verb `report`: puts the figures of a scenario into one line, and judges them.
class ReportCommand
{
public:
    void addTo(CLI::App &app);

    /// Fills the report. InvalidSettings or InvalidRequest when something can't be read or was not measured.
    absl::Status run(Report &report) const;

private:
    std::vector<std::string> m_files;
    std::vector<std::string> m_numbers;
    std::vector<std::string> m_figures;
    std::vector<std::string> m_picks;
    std::vector<std::string> m_requirements;
    std::vector<std::string> m_aims;
};

}
