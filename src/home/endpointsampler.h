#pragma once

#include "endpointreportreader.h"
#include "metrics.h"
#include "serving/endpointloadmeter.h"

#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

struct EndpointSamplerSettings {
    /// Time between two reads while the endpoint works, and while it has nothing to do.
    Duration busyInterval = std::chrono::milliseconds(100);
    Duration idleInterval = std::chrono::milliseconds(200);
    /// Time before the next read after a failed one.
    Duration failurePause = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::milliseconds(500);
    /// Answers that took longer say nothing about the present: this process, or the way to the endpoint, stood still.
    Duration longestRead = std::chrono::milliseconds(500);
    /// Age from which the load is not reported.
    Duration longestAge = std::chrono::seconds(1);
    /// Time between two log lines about reports that can't be read.
    Duration logInterval = std::chrono::minutes(1);
};

/// Reads the reports of the endpoint beside this process and measures its load.
class EndpointSampler
{
public:
    EndpointSampler(EndpointReportReader &reader, TimerService &timers, Metrics &metrics, const std::string &address,
                    EndpointSamplerSettings settings = {});
    ~EndpointSampler();

    EndpointSampler(const EndpointSampler &) = delete;
    EndpointSampler &operator=(const EndpointSampler &) = delete;

    void start();

    /// The load of the endpoint; nullopt if its last report is too old.
    std::optional<EndpointLoadReport> load() const;

private:
    void read();
    void handleReport(const absl::StatusOr<EndpointReport> &report, Instant askedAt);
    void handleFailure(const absl::Status &status);
    void schedule(Instant at);

    EndpointReportReader &m_reader;
    TimerService &m_timers;
    const std::string m_address;
    const EndpointSamplerSettings m_settings;
    Counter &m_readReports;
    Counter &m_failedReports;
    EndpointLoadMeter m_meter;
    TimerId m_timer = 0;
    std::optional<Instant> m_loggedAt;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
