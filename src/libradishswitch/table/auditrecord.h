#pragma once

#include "table/rowchange.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// One accepted change of the table: who, when, from where, what, why.
struct AuditRecord {
    /// Fresh for each edit and the same over its retries, so that an edit whose answer was lost is found again.
    std::string changeId;
    /// The revision that the change made.
    std::uint64_t revision = 0;
    /// Milliseconds since 1970 by the clock of the editor's instance.
    std::int64_t wallClockMs = 0;
    std::string who;
    std::string fromWhere;
    std::string why;
    std::vector<RowChange> changes;

    auto operator<=>(const AuditRecord &) const = default;
    bool operator==(const AuditRecord &) const = default;

    /// Whether the record is about the organisation: its row, or a route of its own.
    bool concerns(const OrganisationId &organisation) const;
};

/// A moment of the wall clock as "2026-03-01T12:00:00Z".
std::string formatWallClock(std::int64_t wallClockMs);

}
