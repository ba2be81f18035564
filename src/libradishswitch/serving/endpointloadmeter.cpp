#include "serving/endpointloadmeter.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace RadishSwitch
{

namespace
{

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

double decay(Duration span, Duration halfLife)
{
    return std::exp2(-seconds(span) / seconds(halfLife));
}

int countOf(std::int64_t n)
{
    return static_cast<int>(std::clamp<std::int64_t>(n, 0, std::numeric_limits<int>::max()));
}

/// The part of `span` before the first and after the last of `events` that are spread evenly over it.
Duration margin(Duration span, std::int64_t events)
{
    return span / (events + 1);
}

}

EndpointLoadMeter::EndpointLoadMeter(std::string address, EndpointLoadMeterSettings settings)
    : m_address(std::move(address))
    , m_settings(settings)
{
}

void EndpointLoadMeter::reset()
{
    m_last.reset();
    m_runs.clear();
    m_window.clear();
    m_idleSeconds = 0;
    m_idleEvents = 0;
    m_queueSeconds = 0;
    m_queueStarts = 0;
}

bool EndpointLoadMeter::isRepeated(const EndpointReport &report, Instant takenAt) const
{
    return takenAt - m_lastTakenAt < m_settings.repeatSpan && report.runs && !report.runs->empty() && report == *m_last;
}

void EndpointLoadMeter::add(const EndpointReport &report, Instant takenAt)
{
    if (m_last && report.startedAtMilliseconds != m_last->startedAtMilliseconds) {
        reset();
    }
    if (m_last && (takenAt <= m_lastTakenAt || isRepeated(report, takenAt))) {
        return;
    }
    static const std::vector<EndpointRun> kNoRuns;
    const bool isFirst = !m_last || takenAt - m_lastTakenAt > m_settings.longestSpan;
    if (isFirst) {
        m_runs.clear();
        m_window.clear();
    }
    const Interval interval = compareRuns(report.runs ? *report.runs : kNoRuns, takenAt);
    if (!isFirst) {
        const Duration span = takenAt - m_lastTakenAt;
        m_window.push_back(interval);
        while (m_window.front().end <= takenAt - m_settings.window) {
            m_window.pop_front();
        }
        if (m_last->queued > 0 && report.runs && m_last->runs) {
            countStarts(m_startedRuns, span);
        } else if (report.queued == 0) {
            countEvents(interval, span);
        }
    }
    m_last = report;
    m_lastTakenAt = takenAt;
}

EndpointLoadMeter::Interval EndpointLoadMeter::compareRuns(const std::vector<EndpointRun> &runs, Instant takenAt)
{
    Interval interval;
    interval.end = takenAt;
    const Duration span = takenAt - m_lastTakenAt;
    m_startedRuns = 0;
    m_nextRuns.clear();
    for (const EndpointRun &it : runs) {
        const auto known = std::ranges::lower_bound(m_runs, it.id, {}, &Run::id);
        const bool isKnown = known != m_runs.end() && known->id == it.id;
        m_startedRuns += isKnown ? 0 : 1;
        // Before its first event a run prefills its prompt, which is no pause between events. A run whose events have
        // become fewer has started again.
        if (!isKnown || known->events == 0 || it.events < known->events) {
            m_nextRuns.push_back({it.id, std::max<std::int64_t>(it.events, 0), takenAt});
            continue;
        }
        const std::int64_t made = it.events - known->events;
        interval.runSeconds += seconds(span);
        interval.events += static_cast<double>(made);
        const Instant nextEventAt = made > 0 ? m_lastTakenAt + margin(span, made) : takenAt;
        interval.pause = std::max(interval.pause, nextEventAt - known->lastEventAt);
        m_nextRuns.push_back({it.id, it.events, made > 0 ? takenAt - margin(span, made) : known->lastEventAt});
    }
    std::ranges::sort(m_nextRuns, {}, &Run::id);
    std::swap(m_runs, m_nextRuns);
    return interval;
}

void EndpointLoadMeter::countEvents(const Interval &interval, Duration span)
{
    if (interval.runSeconds <= 0) {
        return;
    }
    const double share = decay(span, m_settings.idleHalfLife);
    m_idleSeconds = m_idleSeconds * share + interval.runSeconds;
    m_idleEvents = m_idleEvents * share + interval.events;
}

void EndpointLoadMeter::countStarts(std::size_t started, Duration span)
{
    const double share = decay(span, m_settings.startsHalfLife);
    m_queueSeconds = m_queueSeconds * share + seconds(span);
    m_queueStarts = m_queueStarts * share + static_cast<double>(started);
}

Duration EndpointLoadMeter::bounded(double seconds) const
{
    const double longest = RadishSwitch::seconds(m_settings.longestTime);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::clamp(seconds, 0.0, longest)));
}

Duration EndpointLoadMeter::eventInterval() const
{
    double runSeconds = 0;
    double events = 0;
    for (const Interval &it : m_window) {
        runSeconds += it.runSeconds;
        events += it.events;
    }
    // Runs without any event have waited at least for the pause that is going on.
    return events > 0 ? bounded(runSeconds / events) : longestPause();
}

Duration EndpointLoadMeter::idleEventInterval() const
{
    return m_idleEvents >= m_settings.minimumIdleEvents ? bounded(m_idleSeconds / m_idleEvents) : Duration::zero();
}

Duration EndpointLoadMeter::longestPause() const
{
    Duration longest{};
    for (const Interval &it : m_window) {
        longest = std::max(longest, it.pause);
    }
    return std::min(longest, m_settings.longestTime);
}

Duration EndpointLoadMeter::expectedWait() const
{
    // Without its runs the endpoint doesn't show how fast they start.
    if (m_last->queued <= 0 || !m_last->runs) {
        return Duration::zero();
    }
    const double startsPerSecond = (1 + m_queueStarts) / (seconds(m_settings.presumedStartInterval) + m_queueSeconds);
    return bounded(static_cast<double>(m_last->queued) / startsPerSecond);
}

std::optional<EndpointLoadReport> EndpointLoadMeter::load(Instant now) const
{
    if (!m_last) {
        return std::nullopt;
    }
    EndpointLoadReport load;
    load.address = m_address;
    load.startedAtMilliseconds = m_last->startedAtMilliseconds;
    load.running = m_last->runs ? countOf(static_cast<std::int64_t>(m_last->runs->size())) : countOf(m_last->active);
    load.waiting = countOf(m_last->queued);
    load.eventInterval = eventInterval();
    load.idleEventInterval = idleEventInterval();
    load.longestPause = longestPause();
    load.expectedWait = expectedWait();
    if (m_last->totalMemoryTokens > 0) {
        load.memoryShare = std::clamp(
            static_cast<double>(m_last->usedMemoryTokens) / static_cast<double>(m_last->totalMemoryTokens), 0.0, 1.0);
    }
    load.age = std::max(now - m_lastTakenAt, Duration::zero());
    return load;
}

}
