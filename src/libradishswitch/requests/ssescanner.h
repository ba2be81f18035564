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

/// Finds the events in a stream of server-sent events whose bytes come split in any way.
///
/// Lines end with LF, CR or CRLF; comments and unknown fields are skipped, as is a byte order mark. After an error the
/// scanner stays failed.
class SseScanner
{
public:
    static constexpr std::size_t kMaximumEventBytes = 1024 * 1024;

    explicit SseScanner(std::size_t maximumEventBytes = kMaximumEventBytes);

    /// Takes the next bytes and adds the events that they complete to `events`. MessageTooLarge when one event is
    /// larger than allowed; MalformedMessage when a byte cannot be text.
    absl::Status scan(std::string_view bytes, std::vector<SseEvent> &events);

    /// Tells the end of the stream. MalformedMessage when it comes in the middle of an event.
    absl::Status finish();

private:
    void takeLine(std::vector<SseEvent> &events);
    void takeField(std::string_view field, std::string_view value);
    void endEvent(std::vector<SseEvent> &events);
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
