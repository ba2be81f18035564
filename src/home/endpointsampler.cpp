#include "endpointsampler.h"

#include "base/failure.h"
#include "log.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

const Log kLog("load");

bool isIdle(const EndpointReport &report)
{
    return report.queued == 0 && report.active == 0 && (!report.runs || report.runs->empty());
}

}

EndpointSampler::EndpointSampler(EndpointReportReader &reader, TimerService &timers, Metrics &metrics,
                                 const std::string &address, EndpointSamplerSettings settings)
    : m_reader(reader)
    , m_timers(timers)
    , m_address(address)
    , m_settings(settings)
    , m_readReports(
          metrics.counter("radishswitch_endpoint_reports_read_total", "Reports of the endpoint that were read"))
    , m_failedReports(metrics.counter("radishswitch_endpoint_reports_failed_total",
                                      "Reports of the endpoint that could not be read"))
    , m_meter(address)
{
}

EndpointSampler::~EndpointSampler()
{
    m_timers.cancel(m_timer);
}

void EndpointSampler::start()
{
    read();
}

std::optional<EndpointLoadReport> EndpointSampler::load() const
{
    std::optional<EndpointLoadReport> load = m_meter.load(m_timers.now());
    return load && load->age <= m_settings.longestAge ? load : std::nullopt;
}

void EndpointSampler::schedule(Instant at)
{
    m_timer = m_timers.after(std::max(at - m_timers.now(), Duration::zero()), [this] {
        m_timer = 0;
        read();
    });
}

void EndpointSampler::read()
{
    const Instant askedAt = m_timers.now();
    m_reader.read(m_settings.timeout,
                  [this, askedAt, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<EndpointReport> &report) {
                      if (!alive.expired()) {
                          handleReport(report, askedAt);
                      }
                  });
}

void EndpointSampler::handleReport(const absl::StatusOr<EndpointReport> &report, Instant askedAt)
{
    if (!report.ok()) {
        return handleFailure(report.status());
    }
    const Instant now = m_timers.now();
    if (now - askedAt > m_settings.longestRead) {
        return handleFailure(makeFailure(FailureCode::ConnectionSilent, "the report came too late"));
    }
    m_readReports.add();
    m_meter.add(*report, now);
    const Duration interval = isIdle(*report) ? m_settings.idleInterval : m_settings.busyInterval;
    // A process that lacks processor time reads for as long as it pauses: back-to-back reads would take the time from
    // the reservations of budgets.
    schedule(std::max(askedAt + interval, now + std::max(interval / 2, now - askedAt)));
}

void EndpointSampler::handleFailure(const absl::Status &status)
{
    m_failedReports.add();
    const Instant now = m_timers.now();
    if (!m_loggedAt || now - *m_loggedAt >= m_settings.logInterval) {
        m_loggedAt = now;
        kLog.warning("report can't be read",
                     {field("endpoint", m_address), field("failure", failureName(failureCode(status))),
                      field("error", std::string(status.message()))});
    }
    schedule(now + m_settings.failurePause);
}

}
