#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Splits a stream of server-sent events into whole events, of which it parses only the ids.
///
/// An endpoint may break off in the middle of an event. If its bytes were passed on as they arrive, the caller would
/// have half an event, which no other endpoint could continue. An incomplete event is therefore held back until its end
/// arrives.
class EventSplitter
{
public:
    /// `lastEvent` is the id of the event after which the stream starts, if the caller has received one.
    explicit EventSplitter(std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// Takes the next bytes and returns the events that they complete. Omits events that were returned before, in an
    /// earlier run of the same stream.
    std::string take(std::string_view bytes);

    /// Called when the endpoint broke off and another run continues after the last whole event. Drops an incomplete
    /// event.
    void restart();

    /// The id of the last event returned; nothing before the first.
    std::optional<std::uint64_t> lastEvent() const
    {
        return m_lastEvent;
    }

    /// Number of events with an id returned so far.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Whether an event was missing between two events. The events returned before the gap are valid; none are returned
    /// after it.
    bool hasGap() const
    {
        return m_hasGap;
    }

    /// Whether no incomplete event is held back.
    bool isBetweenEvents() const
    {
        return m_partialEvent.empty();
    }

private:
    bool accept(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastEvent;
    std::int64_t m_count = 0;
    bool m_isResumed = false;
    bool m_hasGap = false;
};

}
