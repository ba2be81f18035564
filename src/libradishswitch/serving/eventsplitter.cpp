#include "serving/eventsplitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t> idOf(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = event.find('\n', begin);
        std::string_view line = event.substr(begin, end - begin);
        if (line.starts_with(kIdField)) {
            line.remove_prefix(kIdField.size());
            std::uint64_t id = 0;
            const bool isNumber = absl::SimpleAtoi(absl::string_view(line.data(), line.size()), &id);
            return isNumber ? std::optional(id) : std::nullopt;
        }
        if (end == std::string_view::npos) {
            break;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

}

EventSplitter::EventSplitter(std::optional<std::uint64_t> lastEvent)
    : m_lastEvent(lastEvent)
    , m_isResumed(lastEvent.has_value())
{
}

std::string EventSplitter::take(std::string_view bytes)
{
    std::string events;
    m_partialEvent.append(bytes);
    std::size_t begin = 0;
    while (!m_hasGap) {
        const std::size_t end = m_partialEvent.find(kEventEnd, begin);
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(m_partialEvent).substr(begin, end + kEventEnd.size() - begin);
        if (accept(event)) {
            events.append(event);
        }
        begin = end + kEventEnd.size();
    }
    m_partialEvent.erase(0, begin);
    return events;
}

bool EventSplitter::accept(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (!id) {
        return true;
    }
    if (m_lastEvent && m_isResumed && *id <= *m_lastEvent) {
        return false;
    }
    if (m_lastEvent && *id != *m_lastEvent + 1) {
        m_hasGap = true;
        return false;
    }
    m_lastEvent = id;
    ++m_count;
    return true;
}

void EventSplitter::restart()
{
    m_partialEvent.clear();
    m_isResumed = true;
    m_hasGap = false;
}

}
