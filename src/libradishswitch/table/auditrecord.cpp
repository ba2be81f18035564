#include "table/auditrecord.h"

#include <algorithm>
#include <ctime>

namespace RadishSwitch
{

namespace
{

bool namesOrganisation(const RowChange &change, const std::string &organisation)
{
    if (change.kind == TableKind::Organisation) {
        return change.name == organisation;
    }
    return std::any_of(change.cells.begin(), change.cells.end(), [&organisation](const CellChange &cell) {
        return cell.column == "organisation" && (cell.before == organisation || cell.after == organisation);
    });
}

}

bool AuditRecord::concerns(const OrganisationId &organisation) const
{
    return std::any_of(changes.begin(), changes.end(), [&organisation](const RowChange &change) {
        return namesOrganisation(change, organisation.value());
    });
}

std::string formatWallClock(std::int64_t wallClockMs)
{
    const std::time_t seconds = wallClockMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[32];
    std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buf;
}

}
