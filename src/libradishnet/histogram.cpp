#include "histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>

namespace RadishSwitch
{

namespace bh = boost::histogram;

class Histogram::Private
{
public:
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;

    explicit Private(const HistogramRange &range)
        : counts(bh::make_histogram_with(Storage(), Axis(range.bins, range.lowest, range.highest)))
    {
    }

    bh::histogram<std::tuple<Axis>, Storage> counts;
    std::atomic<double> sum = 0;
};

Histogram::Histogram(const HistogramRange &range)
    : d(std::make_unique<Private>(range))
{
}

Histogram::~Histogram() = default;

void Histogram::record(double value)
{
    // The logarithm of a negative value would count as one above all buckets.
    d->counts(std::max(value, 0.0));
    d->sum.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::record(Duration span)
{
    record(std::chrono::duration<double>(span).count());
}

std::uint64_t Histogram::count() const
{
    std::uint64_t n = 0;
    for (const auto &cell : bh::indexed(d->counts, bh::coverage::all)) {
        n += *cell;
    }
    return n;
}

double Histogram::sum() const
{
    return d->sum.load(std::memory_order_relaxed);
}

std::vector<Histogram::Bucket> Histogram::buckets() const
{
    std::vector<Bucket> buckets;
    std::uint64_t n = d->counts.at(-1);
    for (const auto &cell : bh::indexed(d->counts)) {
        n += *cell;
        buckets.push_back(Bucket{cell.bin().upper(), n});
    }
    return buckets;
}

double Histogram::quantile(double share) const
{
    const std::uint64_t wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count())));
    const std::vector<Bucket> all = buckets();
    if (wanted == 0) {
        return 0;
    }
    const auto it = std::find_if(all.begin(), all.end(), [wanted](const Bucket &bucket) {
        return bucket.cumulativeCount >= wanted;
    });
    return it == all.end() ? all.back().upperEdge : it->upperEdge;
}

}
