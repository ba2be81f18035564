#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Cuts a stream of server-sent events into events events without reading more of them than their ids.
///
/// An endpoint may break off in the middle of an event. Were its bytes passed on as they come, the caller would hold
/// half an event, and no other endpoint could go on behind it. So the tail of an event is kept back until its end is
/// there.
class EventSplitter
{
public:
    /// `lastEvent` is the event behind which the stream begins, if the caller has one.
    explicit EventSplitter(std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// Takes the next bytes and gives those that complete events. Events that were given before, by an earlier run of
    /// the same stream, are left out.
    std::string take(std::string_view bytes);

    /// The endpoint broke off: another run will go on behind the last events event, and what is kept back is dropped.
    void restart();

    /// The id of the last event given; nothing before the first.
    std::optional<std::uint64_t> lastEvent() const
    {
        return m_lastEvent;
    }

    /// Events given so far.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Whether an event was missing between two that were given. What was given up to the gap is sound.
    bool hasGap() const
    {
        return m_hasGap;
    }

    /// Whether the stream stands between two events.
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
