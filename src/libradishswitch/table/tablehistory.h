#pragma once

#include "base/objectstore.h"
#include "base/timerservice.h"
#include "table/tabledocument.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// Reads archived audit records, newest archive first.
class TableHistory
{
public:
    /// Gets each archive in turn; false ends the reading.
    using Visitor = std::function<bool(const AuditArchive &archive)>;

    TableHistory(ObjectStore &store, TimerService &timers, Duration callDeadline);

    /// Walks back from the archive that begins at this revision; zero is none. `done` gets OK at the end, or the
    /// failure of the store, ObjectMalformed among them. The store and the
    /// timers must outlive the walk.
    void walk(std::uint64_t newestArchive, Visitor visit, std::function<void(absl::Status)> done) const;

private:
    ObjectStore &m_store;
    TimerService &m_timers;
    Duration m_callDeadline;
};

}
