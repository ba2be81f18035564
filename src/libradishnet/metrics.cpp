#include "metrics.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <variant>

namespace RadishSwitch
{

namespace
{

std::string toText(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.9g", value);
    return buf;
}

void appendEscaped(std::string &text, const std::string &value)
{
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
}

/// `{a="b",c="d"}`, or nothing when there are no labels.
std::string toText(const MetricLabels &labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"";
        appendEscaped(text, label.value);
        text += '"';
    }
    return text.empty() ? text : text + "}";
}

MetricLabels withEdge(MetricLabels labels, const std::string &edge)
{
    labels.push_back(MetricLabel{"le", edge});
    return labels;
}

void append(std::string &text, const std::string &name, const MetricLabels &labels, const std::string &value)
{
    text += name + toText(labels) + " " + value + "\n";
}

void append(std::string &text, const std::string &name, const MetricLabels &labels, const Counter &counter)
{
    append(text, name, labels, std::to_string(counter.value()));
}

void append(std::string &text, const std::string &name, const MetricLabels &labels, const Gauge &gauge)
{
    append(text, name, labels, toText(gauge.value()));
}

void append(std::string &text, const std::string &name, const MetricLabels &labels, const Histogram &histogram)
{
    // A value that came since the buckets were read must not make the whole smaller than the last of them.
    const std::vector<Histogram::Bucket> buckets = histogram.buckets();
    const std::uint64_t count = std::max(histogram.count(), buckets.empty() ? 0 : buckets.back().cumulativeCount);
    for (const Histogram::Bucket &bucket : buckets) {
        append(text, name + "_bucket", withEdge(labels, toText(bucket.upperEdge)),
               std::to_string(bucket.cumulativeCount));
    }
    append(text, name + "_bucket", withEdge(labels, "+Inf"), std::to_string(count));
    append(text, name + "_sum", labels, toText(histogram.sum()));
    append(text, name + "_count", labels, std::to_string(count));
}

constexpr const char *kTypeNames[] = {"counter", "gauge", "histogram"};

}

/// All metrics of one name.
struct Metrics::Family {
    using Members =
        std::variant<std::map<MetricLabels, std::unique_ptr<Counter>>, std::map<MetricLabels, std::unique_ptr<Gauge>>,
                     std::map<MetricLabels, std::unique_ptr<Histogram>>>;

    std::string help;
    Members members;
};

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

template<typename Metric, typename... Arguments>
Metric &Metrics::find(const std::string &name, const std::string &help, const MetricLabels &labels,
                      const Arguments &...arguments)
{
    using Members = std::map<MetricLabels, std::unique_ptr<Metric>>;
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Family> &family = m_families[name];
    if (!family) {
        family = std::make_unique<Family>(Family{help, Members()});
    }
    Members *members = std::get_if<Members>(&family->members);
    if (!members) {
        std::fprintf(stderr, "metrics: %s is asked for as two kinds\n", name.c_str());
        std::abort();
    }
    std::unique_ptr<Metric> &metric = (*members)[labels];
    if (!metric) {
        metric = std::make_unique<Metric>(arguments...);
    }
    return *metric;
}

Counter &Metrics::counter(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return find<Counter>(name, help, labels);
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return find<Gauge>(name, help, labels);
}

Histogram &Metrics::histogram(const std::string &name, const std::string &help, const HistogramRange &range,
                              const MetricLabels &labels)
{
    return find<Histogram>(name, help, labels, range);
}

void Metrics::beforeCollection(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    m_callbacks.push_back(std::move(callback));
}

std::string Metrics::toText() const
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard lock(m_mutex);
        callbacks = m_callbacks;
    }
    // Outside the lock: a callback may ask for metrics.
    for (const auto &callback : callbacks) {
        callback();
    }
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[name, family] : m_families) {
        text += "# HELP " + name + " " + family->help + "\n";
        text += "# TYPE " + name + " " + kTypeNames[family->members.index()] + "\n";
        std::visit(
            [&text, &name = name](const auto &members) {
                for (const auto &[labels, metric] : members) {
                    append(text, name, labels, *metric);
                }
            },
            family->members);
    }
    return text;
}

}
