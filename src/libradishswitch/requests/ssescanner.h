#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// One event of a server-sent event stream.
struct SseEvent {
    /// Empty for the default type.
    std::string type;
    /// All data lines, joined by line feeds.
    std::string data;

    bool operator==(const SseEvent &) const = default;
};

/// Finds the events in a stream of server-sent events whose bytes may be split at any point.
///
/// Lines end with LF, CR or CRLF. Comments, unknown fields and a byte order mark are skipped. After an error every
/// further call fails with the same error.
class SseScanner
{
public:
    static constexpr std::size_t kMaximumEventBytes = 1024 * 1024;

    explicit SseScanner(std::size_t maximumEventBytes = kMaximumEventBytes);

    /// Takes the next bytes and appends the events that they complete to `events`. MessageTooLarge when one event is
    /// larger than allowed; MalformedMessage when the stream contains a zero byte, which is not valid text.
    absl::Status scan(std::string_view bytes, std::vector<SseEvent> &events);

    /// Ends the stream. MalformedMessage when it ends in the middle of an event.
    absl::Status finish();

private:
    void handleLine(std::vector<SseEvent> &events);
    void handleField(std::string_view field, std::string_view value);
    void finishEvent(std::vector<SseEvent> &events);
    absl::Status fail(absl::Status status);

    std::size_t m_maximumEventBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_isFirstLine = true;
    bool m_endedWithCarriageReturn = false;
    absl::Status m_failure;
};

}
