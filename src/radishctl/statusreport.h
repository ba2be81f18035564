#pragma once

#include "fleetlist.h"
#include "output.h"
#include "tabledocument.h"

#include <vector>

namespace RadishSwitch
{

/// The fleet at one moment, from what its processes told.
class StatusReport
{
public:
    StatusReport(const TableDocument &table, std::vector<InstanceStatus> statuses);

    void print(Output &output) const;

private:
    Sheet instances() const;
    Sheet pools() const;
    Sheet refusals() const;

    std::uint64_t m_revision;
    std::vector<PoolRow> m_pools;
    std::vector<InstanceStatus> m_statuses;
};

}
