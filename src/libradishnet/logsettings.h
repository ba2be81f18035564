#pragma once

namespace RadishSwitch
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

enum class LogFormat {
    Text,
    Json,
};

struct LogSettings {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;

    bool operator==(const LogSettings &) const = default;
};

/// Opens the log on standard error. Before the first call nothing is logged. Safe to call again.
void configureLogs(const LogSettings &settings);

}
