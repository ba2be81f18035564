#include "latencyhistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

namespace bh = boost::histogram;

constexpr double kShortestMicroseconds = 1;
constexpr double kLongestMicroseconds = 1e9;
constexpr unsigned kBins = 9 * 1000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

}

class LatencyHistogram::Private
{
public:
    decltype(bh::make_histogram(Axis(1, 1, 2))) histogram =
        bh::make_histogram(Axis(kBins, kShortestMicroseconds, kLongestMicroseconds));
    std::int64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : d(std::make_unique<Private>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(Duration span)
{
    d->histogram(
        std::clamp<double>(static_cast<double>(span.count()), kShortestMicroseconds, kLongestMicroseconds - 1));
    ++d->count;
}

std::int64_t LatencyHistogram::count() const
{
    return d->count;
}

double LatencyHistogram::milliseconds(double share) const
{
    const double wanted = share * static_cast<double>(d->count);
    double seen = 0;
    for (const auto &cell : bh::indexed(d->histogram)) {
        const double here = *cell;
        if (here > 0 && seen + here >= wanted) {
            const double place = std::clamp((wanted - seen) / here, 0.0, 1.0);
            return (cell.bin().lower() + place * (cell.bin().upper() - cell.bin().lower())) / 1000;
        }
        seen += here;
    }
    return 0;
}

}
