#include "log.h"

#include "blockwriter.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <unistd.h>

#include <deque>

namespace RadishSwitch
{

namespace
{

constexpr char kTextPattern[] = "%d{ISO8601} %-5p %c: %m%n";

std::atomic<LogLevel> s_level = LogLevel::Off;
std::atomic<LogFormat> s_format = LogFormat::Text;

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Off:
        break;
    }
    return log4cxx::Level::getOff();
}

log4cxx::LayoutPtr makeLayout(LogFormat format)
{
    if (format == LogFormat::Json) {
        return std::make_shared<log4cxx::JSONLayout>();
    }
    return std::make_shared<log4cxx::PatternLayout>(kTextPattern);
}

/// Hands formatted lines to a BlockWriter. Lines below a warning are ordinary.
class BlockAppender : public log4cxx::AppenderSkeleton
{
public:
    BlockAppender()
        : m_writer(STDOUT_FILENO)
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        m_writer.add(std::move(line), !event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()));
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return true;
    }

private:
    BlockWriter m_writer;
};

log4cxx::AppenderPtr makeAppender(const LogSettings &settings)
{
    if (settings.isBuffered) {
        const auto appender = std::make_shared<BlockAppender>();
        appender->setLayout(makeLayout(settings.format));
        return appender;
    }
    return std::make_shared<log4cxx::ConsoleAppender>(makeLayout(settings.format),
                                                      log4cxx::ConsoleAppender::getSystemErr());
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string::npos;
}

void appendQuoted(std::string &text, const std::string &value)
{
    text += '"';
    for (const char c : value) {
        if (c == '\n' || c == '\r') {
            // A value from outside must not begin a line of its own.
            text += ' ';
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    text += '"';
}

std::string textOf(std::string_view sentence, Log::Fields fields)
{
    std::string text(sentence);
    for (const LogField &entry : fields) {
        text += ' ';
        text += entry.name;
        text += '=';
        if (needsQuotes(entry.value)) {
            appendQuoted(text, entry.value);
        } else {
            text += entry.value;
        }
    }
    return text;
}

}

void configureLogs(const LogSettings &settings)
{
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(settings));
    root->setLevel(levelOf(settings.level));
    log4cxx::LogManager::getLoggerRepository()->setConfigured(true);
    s_format = settings.format;
    s_level = settings.level;
}

LogField field(std::string_view name, std::string_view value)
{
    return LogField{std::string(name), std::string(value)};
}

LogField field(std::string_view name, bool value)
{
    return LogField{std::string(name), value ? "true" : "false"};
}

LogField field(std::string_view name, double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%g", value);
    return LogField{std::string(name), buf};
}

LogField field(std::string_view name, Duration value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%gms", std::chrono::duration<double, std::milli>(value).count());
    return LogField{std::string(name), buf};
}

Log::Log(std::string part)
    : m_part(std::move(part))
{
}

void Log::debug(std::string_view sentence, Fields fields) const
{
    write(LogLevel::Debug, sentence, fields);
}

void Log::info(std::string_view sentence, Fields fields) const
{
    write(LogLevel::Info, sentence, fields);
}

void Log::warning(std::string_view sentence, Fields fields) const
{
    write(LogLevel::Warning, sentence, fields);
}

void Log::error(std::string_view sentence, Fields fields) const
{
    write(LogLevel::Error, sentence, fields);
}

bool Log::isEnabled(LogLevel level)
{
    return level >= s_level.load(std::memory_order_relaxed);
}

void Log::write(LogLevel level, std::string_view sentence, Fields fields) const
{
    if (!isEnabled(level)) {
        return;
    }
    const auto location = log4cxx::spi::LocationInfo::getLocationUnavailable();
    if (s_format == LogFormat::Text) {
        logger().forcedLog(levelOf(level), textOf(sentence, fields), location);
        return;
    }
    std::deque<log4cxx::MDC> context;
    for (const LogField &entry : fields) {
        context.emplace_back(entry.name, entry.value);
    }
    logger().forcedLog(levelOf(level), std::string(sentence), location);
}

log4cxx::Logger &Log::logger() const
{
    log4cxx::Logger *logger = m_logger.load(std::memory_order_acquire);
    if (!logger) {
        // The hierarchy keeps its loggers until the process ends.
        logger = log4cxx::Logger::getLogger(m_part).get();
        m_logger.store(logger, std::memory_order_release);
    }
    return *logger;
}

}
