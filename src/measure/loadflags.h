#pragma once

#include "loadsettings.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace RadishSwitch
{

/// The flags of a load on the command line.
class LoadFlags
{
public:
    void addTo(CLI::App &app);

    /// InvalidSettings when a door or an organisation can't be read.
    absl::StatusOr<LoadSettings> settings(bool isDirect) const;

    int threads() const;

private:
    LoadSettings m_settings;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_organisations;
    double m_seconds = 10;
    double m_timeoutSeconds = 20;
    int m_deadline = 0;
    int m_duplicateDelay = 30;
    int m_slowReadInterval = 100;
    int m_retryDelay = 100;
    int m_threads = 2;
};

}
