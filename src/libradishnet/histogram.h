#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace RadishSwitch
{

/// The buckets of a histogram: `bins` of them from `lowest` to `highest`, each wider than the one before by the same
/// factor. What lies outside goes into the first bucket or the last.
struct HistogramRange {
    double lowest = 0;
    double highest = 0;
    unsigned bins = 0;

    bool operator==(const HistogramRange &) const = default;
};

/// Latencies from 100 microseconds to 100 seconds, in seconds; each bucket is 1.33 times as wide as the one before.
inline constexpr HistogramRange kLatencyRange{1e-4, 1e2, 48};

/// A distribution, kept by Boost.Histogram. Recording takes no lock.
class Histogram
{
public:
    explicit Histogram(const HistogramRange &range);
    ~Histogram();

    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void record(double value);

    /// In seconds.
    void record(Duration span);

    std::uint64_t count() const;
    double sum() const;

    /// The upper edge of the bucket in which the share `share` of all values is reached; zero when there is none.
    double quantile(double share) const;

    struct Bucket {
        double upperEdge = 0;
        /// Values up to the edge, over all buckets.
        std::uint64_t cumulativeCount = 0;

        bool operator==(const Bucket &) const = default;
    };

    /// All but the last, which has no upper edge.
    std::vector<Bucket> buckets() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
