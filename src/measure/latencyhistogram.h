#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <memory>

namespace RadishSwitch
{

/// Spans of time, with quantiles exact to a quarter of a percent.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration span);

    std::int64_t count() const;

    /// The span that this share of all does not exceed, in milliseconds; zero when there is none.
    double milliseconds(double share) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
