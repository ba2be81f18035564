#pragma once

#include "serving/endpointloadreport.h"
#include "serving/endpointreport.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct EndpointLoadMeterSettings {
    /// Time over which the event interval and the longest pause are taken.
    Duration window = std::chrono::seconds(1);
    /// Half-life of the idle event interval. Only time at which no request waited counts.
    Duration idleHalfLife = std::chrono::seconds(10);
    /// Half-life of the rate at which waiting requests start. Only time at which requests waited counts.
    Duration startsHalfLife = std::chrono::seconds(3);
    /// Assumed time between two starts while nothing was measured, with the weight of one start.
    Duration presumedStartInterval = std::chrono::milliseconds(200);
    /// A report that equals the one before is taken for the same state read twice if it comes this soon after it. An
    /// endpoint that renews its report every 100 ms, read every 100 ms, gives some of its reports twice.
    Duration repeatSpan = std::chrono::milliseconds(150);
    /// Events after which the idle event interval is reported.
    double minimumIdleEvents = 8;
    /// Reports that are further apart are not compared: the process was stopped, or reads failed, and runs that came
    /// and went in between would be missing.
    Duration longestSpan = std::chrono::milliseconds(1500);
    /// No time is reported as longer.
    Duration longestTime = std::chrono::seconds(60);
};

/// Derives the load and speed of an endpoint from its successive reports.
///
/// Addresses fleets in which some engines take 2.4 times as long for an event as others, or slow down for a while under
/// long prompts, while their counts of runs look the same: the speed shows only in the events that their runs make.
class EndpointLoadMeter
{
public:
    explicit EndpointLoadMeter(std::string address, EndpointLoadMeterSettings settings = {});

    /// Takes in a report and the time at which it was read. A report of another incarnation resets the meter; one that
    /// was read before the last one is ignored.
    void add(const EndpointReport &report, Instant takenAt);

    /// The load as of the last report, with its age. Nullopt before the first report.
    std::optional<EndpointLoadReport> load(Instant now) const;

private:
    /// What is known of a started run.
    struct Run {
        std::uint64_t id = 0;
        std::int64_t events = 0;
        /// When its last event was made, estimated.
        Instant lastEventAt{};
    };

    /// What happened between two successive reports.
    struct Interval {
        Instant end{};
        /// Time for which the runs that are in both reports ran, in seconds, and the events that they made.
        double runSeconds = 0;
        double events = 0;
        /// Longest time without an event that ended in the interval, or was going on at its end.
        Duration pause{};
    };

    void reset();
    /// Compares the runs with those before, and makes them the known ones.
    Interval compareRuns(const std::vector<EndpointRun> &runs, Instant takenAt);
    void countEvents(const Interval &interval, Duration span);
    void countStarts(std::size_t started, Duration span);
    bool isRepeated(const EndpointReport &report, Instant takenAt) const;
    Duration eventInterval() const;
    Duration idleEventInterval() const;
    Duration longestPause() const;
    Duration expectedWait() const;
    Duration bounded(double seconds) const;

    const std::string m_address;
    const EndpointLoadMeterSettings m_settings;
    std::optional<EndpointReport> m_last;
    Instant m_lastTakenAt{};
    /// Sorted by id.
    std::vector<Run> m_runs;
    std::vector<Run> m_nextRuns;
    std::size_t m_startedRuns = 0;
    std::deque<Interval> m_window;
    double m_idleSeconds = 0;
    double m_idleEvents = 0;
    double m_queueSeconds = 0;
    double m_queueStarts = 0;
};

}
