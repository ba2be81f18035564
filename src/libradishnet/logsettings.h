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
    /// Whether lines go to the standard output in blocks, as a BlockWriter does it, and not to the standard error at
    /// once.
    bool isBuffered = false;

    bool operator==(const LogSettings &) const = default;
};

/// Opens the log. Before the first call nothing is logged. Safe to call again.
void configureLogs(const LogSettings &settings);

}
