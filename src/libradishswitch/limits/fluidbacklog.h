#pragma once

#include <vector>

namespace RadishSwitch
{

/// Backlogs that are served at the same time, each in proportion to its share, as if cost were a fluid.
class FluidBacklog
{
public:
    void add(double cost, double share);

    /// Must be called once, after the last `add` and before the first `servedAt`.
    void prepare();

    /// The total cost served by the time at which each backlog has received `perShare` for each unit of its share or is
    /// finished.
    double servedAt(double perShare) const;

private:
    struct Backlog {
        double perShare = 0;
        double cost = 0;
        double share = 0;
        /// Sums over this backlog and all that finish before it.
        double costSum = 0;
        double shareSum = 0;
    };

    std::vector<Backlog> m_backlogs;
};

}
