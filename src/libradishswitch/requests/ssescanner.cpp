#include "requests/ssescanner.h"

#include "base/failure.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kLineEnds = "\r\n";

}

SseScanner::SseScanner(std::size_t maximumEventBytes)
    : m_maximumEventBytes(maximumEventBytes)
{
}

absl::Status SseScanner::scan(std::string_view bytes, std::vector<SseEvent> &events)
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (bytes.find('\0') != std::string_view::npos) {
        return fail(makeFailure(FailureCode::MalformedMessage, "the event stream contains a zero byte"));
    }
    while (!bytes.empty()) {
        // When a CRLF is split between two calls, its line feed does not end a second line.
        if (std::exchange(m_endedWithCarriageReturn, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const std::size_t n = bytes.find_first_of(kLineEnds);
        const std::string_view part = bytes.substr(0, n);
        if (m_line.size() + m_event.data.size() + part.size() > m_maximumEventBytes) {
            return fail(makeFailure(FailureCode::MessageTooLarge, "an event is larger than allowed"));
        }
        m_line.append(part);
        if (n == std::string_view::npos) {
            return absl::OkStatus();
        }
        m_endedWithCarriageReturn = bytes[n] == '\r';
        bytes.remove_prefix(n + 1);
        handleLine(events);
    }
    return absl::OkStatus();
}

absl::Status SseScanner::finish()
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (!m_line.empty() || m_hasData) {
        return fail(makeFailure(FailureCode::MalformedMessage, "the event stream ends in the middle of an event"));
    }
    return absl::OkStatus();
}

void SseScanner::handleLine(std::vector<SseEvent> &events)
{
    std::string_view line = m_line;
    if (std::exchange(m_isFirstLine, false) && line.starts_with(kByteOrderMark)) {
        line.remove_prefix(kByteOrderMark.size());
    }
    if (line.empty()) {
        finishEvent(events);
    } else {
        const std::size_t n = line.find(':');
        std::string_view value = n == std::string_view::npos ? std::string_view() : line.substr(n + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        handleField(line.substr(0, n), value);
    }
    m_line.clear();
}

void SseScanner::handleField(std::string_view field, std::string_view value)
{
    if (field == "event") {
        m_event.type = value;
    } else if (field == "data") {
        if (std::exchange(m_hasData, true)) {
            m_event.data += '\n';
        }
        m_event.data += value;
    }
}

void SseScanner::finishEvent(std::vector<SseEvent> &events)
{
    SseEvent event = std::exchange(m_event, {});
    if (std::exchange(m_hasData, false)) {
        events.push_back(std::move(event));
    }
}

absl::Status SseScanner::fail(absl::Status status)
{
    m_failure = std::move(status);
    return m_failure;
}

}
