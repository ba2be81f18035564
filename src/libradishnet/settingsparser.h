#pragma once

#include "base/timerservice.h"
#include "socketaddress.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// The version of the project, such as "0.1.0".
std::string_view projectVersion();

/// Reads "250ms", "3s", "90us" or "2min". InvalidSettings when `text` is anything else or negative.
absl::StatusOr<Duration> parseDuration(const std::string &text);

/// The settings of a program: flags, and for each flag an environment variable. "--list-lag" is also read from
/// RADISHSWITCH_LIST_LAG; the flag goes before the variable.
///
/// A setting is bound to a variable that holds its default; the variable must outlive `parse`. Wrong settings are
/// InvalidSettings, and name the flag, the value and what would be right.
class SettingsParser
{
public:
    SettingsParser(const std::string &program, const std::string &description);
    ~SettingsParser();

    /// Names are without dashes: "list-lag".
    void add(const std::string &name, std::string &value, const std::string &help);
    void add(const std::string &name, Duration &value, const std::string &help);
    void add(const std::string &name, SocketAddress &value, const std::string &help);
    void addFlag(const std::string &name, bool &value, const std::string &help);
    void addNumber(const std::string &name, int &value, int lowest, int highest, const std::string &help);
    void addNumber(const std::string &name, double &value, double lowest, double highest, const std::string &help);

    /// One of `choices`, given to `value` as its index.
    void addChoice(const std::string &name, std::vector<std::string> choices, std::function<void(std::size_t)> choose,
                   const std::string &preset, const std::string &help);

    /// Makes a setting that was added one that must be given.
    void require(const std::string &name);

    /// Runs after the settings are read; its failure is that of `parse`.
    void addCheck(std::function<absl::Status()> check);

    absl::Status parse(const std::vector<std::string> &arguments);

    /// For `main`: nothing when the program shall run, and otherwise its exit code, after the help, the version or the
    /// error was printed: 0 for the first two, 2 for an error.
    std::optional<int> parseCommandLine(int argc, const char *const *argv);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
