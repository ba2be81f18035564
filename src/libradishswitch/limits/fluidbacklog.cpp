#include "limits/fluidbacklog.h"

#include <algorithm>

namespace RadishSwitch
{

void FluidBacklog::add(double cost, double share)
{
    m_backlogs.push_back({cost / share, cost, share, 0, 0});
}

void FluidBacklog::prepare()
{
    std::ranges::sort(m_backlogs, {}, &Backlog::perShare);
    double costSum = 0;
    double shareSum = 0;
    for (Backlog &backlog : m_backlogs) {
        costSum += backlog.cost;
        shareSum += backlog.share;
        backlog.costSum = costSum;
        backlog.shareSum = shareSum;
    }
}

double FluidBacklog::servedAt(double perShare) const
{
    if (m_backlogs.empty()) {
        return 0;
    }
    const auto it = std::ranges::upper_bound(m_backlogs, perShare, {}, &Backlog::perShare);
    const double done = it == m_backlogs.begin() ? 0 : (it - 1)->costSum;
    const double doneShare = it == m_backlogs.begin() ? 0 : (it - 1)->shareSum;
    return done + perShare * (m_backlogs.back().shareSum - doneShare);
}

}
