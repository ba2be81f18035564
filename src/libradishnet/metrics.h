#pragma once

#include "counter.h"
#include "gauge.h"
#include "histogram.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct MetricLabel {
    std::string name;
    std::string value;

    auto operator<=>(const MetricLabel &) const = default;
    bool operator==(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/// The metrics of a process. A part asks for its metrics once and keeps the references, which stay good as long as
/// this lives; counting then looks nothing up. The same name with the same labels gives the same metric.
///
/// Any thread may ask and count.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Names follow Prometheus: "radishswitch_requests_total". A name has one kind: asking for another is a bug, and
    /// ends the process.
    Counter &counter(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help, const HistogramRange &range = kLatencyRange,
                         const MetricLabels &labels = {});

    /// Called before each collection, to set gauges that nobody keeps up to date.
    void beforeCollection(std::function<void()> callback);

    /// The Prometheus text format, in order of names and labels.
    std::string toText() const;

private:
    struct Family;

    template<typename Metric, typename... Arguments>
    Metric &find(const std::string &name, const std::string &help, const MetricLabels &labels,
                 const Arguments &...arguments);

    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Family>> m_families;
    std::vector<std::function<void()>> m_callbacks;
};

}
