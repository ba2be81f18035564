#pragma once

#include "base/timerservice.h"
#include "logsettings.h"

#include <atomic>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace log4cxx
{
class Logger;
}

namespace RadishSwitch
{

/// A named value of a log line.
struct LogField {
    std::string name;
    std::string value;

    bool operator==(const LogField &) const = default;
};

LogField field(std::string_view name, std::string_view value);
LogField field(std::string_view name, bool value);
LogField field(std::string_view name, double value);
/// In milliseconds, with the unit: "12.5ms".
LogField field(std::string_view name, Duration value);

template<std::integral T>
LogField field(std::string_view name, T value)
{
    return LogField{std::string(name), std::to_string(value)};
}

inline LogField field(std::string_view name, const char *value)
{
    return field(name, std::string_view(value));
}

inline LogField field(std::string_view name, const std::string &value)
{
    return field(name, std::string_view(value));
}

/// The log of one part of a program: a short sentence, then its values.
///
/// As text, "budget: portion taken budget=org/main tokens=5000"; as JSON, the sentence under "message", the part
/// under "logger" and the values under "context_map". A level that is off costs one load of an atomic, and the fields.
class Log
{
public:
    using Fields = std::initializer_list<LogField>;

    explicit Log(std::string part);

    void debug(std::string_view sentence, Fields fields = {}) const;
    void info(std::string_view sentence, Fields fields = {}) const;
    void warning(std::string_view sentence, Fields fields = {}) const;
    void error(std::string_view sentence, Fields fields = {}) const;

    /// As the above, for a caller that chooses the level.
    void write(LogLevel level, std::string_view sentence, Fields fields) const;

    /// For a caller whose fields are dear to make.
    static bool isEnabled(LogLevel level);

private:
    log4cxx::Logger &logger() const;

    std::string m_part;
    mutable std::atomic<log4cxx::Logger *> m_logger = nullptr;
};

}
