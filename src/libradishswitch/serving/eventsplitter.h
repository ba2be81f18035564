#pragma once

#include <cstddef>
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
///
/// Ids are numbers that increase by one. An event without an id, such as a comment, belongs to the event before it.
class EventSplitter
{
public:
    /// An event that is longer has no end that is worth waiting for.
    static constexpr std::size_t kMaximumEventBytes = 1024 * 1024;
    /// How much a run may repeat of what was returned before.
    static constexpr std::size_t kMaximumRepeatedBytes = 8 * 1024 * 1024;

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

    /// Whether the stream can't go on behind the last event returned: an event is missing, ids don't increase or are no
    /// numbers, or events without ids would be repeated. The events returned before are valid; none are returned after.
    bool hasGap() const
    {
        return m_hasGap;
    }

    /// Whether an event or the repeated part of the run is longer than is accepted. Nothing is returned after that.
    bool isTooLong() const
    {
        return m_isTooLong;
    }

    /// Bytes of the incomplete event that is held back.
    std::size_t heldBytes() const
    {
        return m_partialEvent.size();
    }

    /// Whether no incomplete event is held back.
    bool isBetweenEvents() const
    {
        return m_partialEvent.empty();
    }

private:
    bool accept(std::string_view event);
    bool acceptWithoutId();
    void releaseSpace();

    std::string m_partialEvent;
    /// Up to where the end of the incomplete event was searched for.
    std::size_t m_searched = 0;
    std::optional<std::uint64_t> m_lastEvent;
    /// The last id of the current run, which may be one that was returned in an earlier run.
    std::optional<std::uint64_t> m_lastOfRun;
    /// Whether the run is at events that were returned before.
    bool m_isRepeating = false;
    std::size_t m_repeatedBytes = 0;
    bool m_hasReturned = false;
    bool m_isTooLong = false;
    std::int64_t m_count = 0;
    bool m_isResumed = false;
    bool m_hasGap = false;
};

}
