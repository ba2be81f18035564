#pragma once

#include <vector>

namespace RadishSwitch
{

/// Backlogs that are served together, each in proportion to its share, as if cost were a fluid.
class FluidBacklog
{
public:
    void add(double cost, double share);

    /// To be called once, between the last `add` and the first `servedAt`.
    void prepare();

    /// The cost served over all backlogs by the time at which each got `perShare` for one unit of its share, or was
    /// done.
    double servedAt(double perShare) const;

private:
    struct Backlog {
        double perShare = 0;
        double cost = 0;
        double share = 0;
        /// Over this one and all that are done before it.
        double costSum = 0;
        double shareSum = 0;
    };

    std::vector<Backlog> m_backlogs;
};

}
