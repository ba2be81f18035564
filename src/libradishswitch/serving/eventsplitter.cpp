#include "serving/eventsplitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace RadishSwitch
{

namespace
{

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

/// Space beyond this is given back once no long event is held any more.
constexpr std::size_t kKeptSpace = 16 * 1024;

/// The value of the event's first id field, if it has one.
std::optional<std::string_view> idFieldOf(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = event.find('\n', begin);
        const std::string_view line = event.substr(begin, end - begin);
        if (line.starts_with(kIdField)) {
            return line.substr(kIdField.size());
        }
        if (end == std::string_view::npos) {
            break;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const bool isNumber = absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number);
    return isNumber ? std::optional(number) : std::nullopt;
}

}

EventSplitter::EventSplitter(std::optional<std::uint64_t> lastEvent)
    : m_lastEvent(lastEvent)
    , m_isRepeating(lastEvent.has_value())
    , m_isResumed(lastEvent.has_value())
{
}

std::string EventSplitter::take(std::string_view bytes)
{
    std::string events;
    m_partialEvent.append(bytes);
    std::size_t begin = 0;
    while (!m_hasGap && !m_isTooLong) {
        const std::size_t end = m_partialEvent.find(kEventEnd, m_searched);
        if (end == std::string::npos) {
            break;
        }
        m_searched = end + kEventEnd.size();
        const std::string_view event = std::string_view(m_partialEvent).substr(begin, m_searched - begin);
        if (accept(event)) {
            events.append(event);
        } else {
            m_repeatedBytes += event.size();
        }
        begin = m_searched;
        m_isTooLong = m_repeatedBytes > kMaximumRepeatedBytes;
    }
    m_partialEvent.erase(0, begin);
    m_searched = m_partialEvent.empty() ? 0 : m_partialEvent.size() - 1;
    m_isTooLong = m_isTooLong || m_partialEvent.size() > kMaximumEventBytes;
    m_hasReturned = m_hasReturned || !events.empty();
    releaseSpace();
    return events;
}

bool EventSplitter::accept(std::string_view event)
{
    const std::optional<std::string_view> idField = idFieldOf(event);
    if (!idField) {
        return acceptWithoutId();
    }
    const std::optional<std::uint64_t> id = numberOf(*idField);
    if (!id || (m_lastOfRun && *id <= *m_lastOfRun)) {
        m_hasGap = true;
        return false;
    }
    m_lastOfRun = id;
    m_isRepeating = m_lastEvent && m_isResumed && *id <= *m_lastEvent;
    if (m_isRepeating) {
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

// Where nothing that was returned has an id, it can't be told whether the caller has this event.
bool EventSplitter::acceptWithoutId()
{
    m_hasGap = m_isRepeating && !m_lastEvent;
    return !m_isRepeating;
}

void EventSplitter::releaseSpace()
{
    if (m_partialEvent.capacity() > kKeptSpace && m_partialEvent.size() < kKeptSpace / 2) {
        m_partialEvent.shrink_to_fit();
    }
}

void EventSplitter::restart()
{
    m_partialEvent.clear();
    m_searched = 0;
    m_lastOfRun.reset();
    m_isRepeating = m_lastEvent.has_value() || m_hasReturned;
    m_repeatedBytes = 0;
    m_isTooLong = false;
    m_isResumed = true;
    m_hasGap = false;
}

}
