#include "settingsparser.h"

#include "base/failure.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <CLI/CLI.hpp>

#include <cmath>
#include <iostream>

namespace RadishSwitch
{

namespace
{

constexpr char kEnvironmentPrefix[] = "RADISHSWITCH_";
constexpr int kExitInvalidSettings = 2;

struct DurationUnit {
    std::string_view suffix;
    double microseconds;
};

// "ms" and "us" go before "s", which ends them.
constexpr DurationUnit kDurationUnits[] = {{"us", 1}, {"ms", 1e3}, {"min", 60e6}, {"s", 1e6}};
constexpr double kLongestDuration = 365.0 * 24 * 3600 * 1e6;

std::string variableOf(const std::string &name)
{
    std::string variable = kEnvironmentPrefix;
    for (const char c : name) {
        variable += c == '-' ? '_' : absl::ascii_toupper(static_cast<unsigned char>(c));
    }
    return variable;
}

std::string toText(Duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

std::string toText(double number)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%g", number);
    return buf;
}

absl::Status wrongValue(const std::string &name, const std::string &text, const std::string &wanted)
{
    return makeFailure(FailureCode::InvalidSettings,
                       "--" + name + " (" + variableOf(name) + "): '" + text + "' isn't " + wanted);
}

}

std::string_view projectVersion()
{
    return RADISHSWITCH_VERSION;
}

absl::StatusOr<Duration> parseDuration(const std::string &text)
{
    for (const DurationUnit &unit : kDurationUnits) {
        double number = 0;
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const std::string digits = text.substr(0, text.size() - unit.suffix.size());
        const bool isNumber = !digits.empty() && absl::ascii_isdigit(static_cast<unsigned char>(digits.front()))
            && absl::ascii_isdigit(static_cast<unsigned char>(digits.back())) && absl::SimpleAtod(digits, &number);
        if (isNumber && number * unit.microseconds <= kLongestDuration) {
            return Duration(std::llround(number * unit.microseconds));
        }
        break;
    }
    return makeFailure(FailureCode::InvalidSettings, "'" + text + "' isn't a span of time, such as 250ms, 3s or 2min");
}

class SettingsParser::Private
{
public:
    using Setter = std::function<absl::Status(const std::string &)>;

    Private(const std::string &program, const std::string &description)
        : app(description, program)
    {
        app.set_version_flag("--version", program + " " + std::string(projectVersion()));
    }

    CLI::Option *add(const std::string &name, const std::string &type, const std::string &preset,
                     const std::string &help, Setter setter)
    {
        const auto keepFailure = [this, setter = std::move(setter)](const std::string &text) {
            if (failure.ok()) {
                failure = setter(text);
            }
        };
        CLI::Option *option = app.add_option_function<std::string>("--" + name, keepFailure, help);
        option->envname(variableOf(name))->type_name(type)->take_last();
        if (!preset.empty()) {
            option->default_str(preset);
        }
        return option;
    }

    CLI::App app;
    absl::Status failure;
    std::vector<std::function<absl::Status()>> checks;
};

SettingsParser::SettingsParser(const std::string &program, const std::string &description)
    : d(std::make_unique<Private>(program, description))
{
}

SettingsParser::~SettingsParser() = default;

void SettingsParser::add(const std::string &name, std::string &value, const std::string &help)
{
    d->add(name, "TEXT", value, help, [&value](const std::string &text) {
        value = text;
        return absl::OkStatus();
    });
}

void SettingsParser::add(const std::string &name, Duration &value, const std::string &help)
{
    d->add(name, "DURATION", toText(value), help, [name, &value](const std::string &text) {
        const absl::StatusOr<Duration> parsed = parseDuration(text);
        if (!parsed.ok()) {
            return wrongValue(name, text, "a span of time, such as 250ms, 3s or 2min");
        }
        value = *parsed;
        return absl::OkStatus();
    });
}

void SettingsParser::add(const std::string &name, SocketAddress &value, const std::string &help)
{
    const std::string preset = value == SocketAddress() ? "" : value.toString();
    d->add(name, "IP:PORT", preset, help, [name, &value](const std::string &text) {
        const absl::StatusOr<SocketAddress> parsed = parseSocketAddress(text);
        if (!parsed.ok()) {
            return wrongValue(name, text, "an IP number with a port, such as 127.0.0.1:8080 or [::1]:8080");
        }
        value = *parsed;
        return absl::OkStatus();
    });
}

void SettingsParser::addFlag(const std::string &name, bool &value, const std::string &help)
{
    d->app.add_flag("--" + name, value, help)->envname(variableOf(name));
}

void SettingsParser::addNumber(const std::string &name, int &value, int lowest, int highest, const std::string &help)
{
    const std::string range = std::to_string(lowest) + " to " + std::to_string(highest);
    d->add(name, "NUMBER", std::to_string(value), help, [=, &value](const std::string &text) {
        int number = 0;
        if (!absl::SimpleAtoi(text, &number) || number < lowest || number > highest) {
            return wrongValue(name, text, "a whole number from " + range);
        }
        value = number;
        return absl::OkStatus();
    });
}

void SettingsParser::addNumber(const std::string &name, double &value, double lowest, double highest,
                               const std::string &help)
{
    const std::string range = toText(lowest) + " to " + toText(highest);
    d->add(name, "NUMBER", toText(value), help, [=, &value](const std::string &text) {
        double number = 0;
        if (!absl::SimpleAtod(text, &number) || !(number >= lowest && number <= highest)) {
            return wrongValue(name, text, "a number from " + range);
        }
        value = number;
        return absl::OkStatus();
    });
}

void SettingsParser::addChoice(const std::string &name, std::vector<std::string> choices,
                               std::function<void(std::size_t)> choose, const std::string &preset,
                               const std::string &help)
{
    const std::string type = absl::StrJoin(choices, "|");
    d->add(name, type, preset, help, [=](const std::string &text) {
        const auto it = std::find(choices.begin(), choices.end(), text);
        if (it == choices.end()) {
            return wrongValue(name, text, "one of " + absl::StrJoin(choices, ", "));
        }
        choose(static_cast<std::size_t>(it - choices.begin()));
        return absl::OkStatus();
    });
}

void SettingsParser::require(const std::string &name)
{
    CLI::Option *option = d->app.get_option("--" + name);
    addCheck([name, option] {
        if (option->count() > 0) {
            return absl::OkStatus();
        }
        return makeFailure(FailureCode::InvalidSettings,
                           "--" + name + " (" + variableOf(name) + ") isn't given: " + option->get_description());
    });
}

void SettingsParser::addCheck(std::function<absl::Status()> check)
{
    d->checks.push_back(std::move(check));
}

absl::Status SettingsParser::parse(const std::vector<std::string> &arguments)
{
    d->failure = absl::OkStatus();
    try {
        // CLI11 takes them from the back.
        d->app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::Success &) {
        throw;
    } catch (const CLI::ParseError &e) {
        return makeFailure(FailureCode::InvalidSettings, e.what());
    }
    for (const auto &check : d->checks) {
        if (d->failure.ok()) {
            d->failure = check();
        }
    }
    return d->failure;
}

std::optional<int> SettingsParser::parseCommandLine(int argc, const char *const *argv)
{
    try {
        const absl::Status status = parse(std::vector<std::string>(argv + 1, argv + argc));
        if (status.ok()) {
            return std::nullopt;
        }
        std::cerr << d->app.get_name() << ": " << std::string(status.message()) << "\nSee " << d->app.get_name()
                  << " --help.\n";
        return kExitInvalidSettings;
    } catch (const CLI::Success &e) {
        return d->app.exit(e);
    }
}

}
