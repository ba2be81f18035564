#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "table/tablechange.h"
#include "table/tabledocument.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct TableEditorSettings {
    /// How long an edit is tried before it fails.
    Duration deadline = std::chrono::seconds(15);
    /// A call of the store that has not answered for so long counts as one whose answer was lost.
    Duration callDeadline = std::chrono::seconds(3);
    /// Waits between tries, doubled up to the maximum; jittered.
    Duration firstRetryDelay = std::chrono::milliseconds(20);
    Duration maximumRetryDelay = std::chrono::seconds(1);
    /// An edit made while the store is away fails after so many tries in a row that certainly had no effect.
    int unavailableTries = 3;
    /// Records beyond this many, or this many bytes of them, are moved to an archive.
    std::size_t archiveRecords = 64;
    std::size_t archiveBytes = 100'000;
};

/// What an operator wants done, all of it or nothing.
struct TableEdit {
    std::vector<TableChangePointer> changes;
    std::string who;
    std::string fromWhere;
    std::string why;
    /// Empty for a fresh edit. An edit whose outcome stayed unknown is sent again under the id that its failure named,
    /// and takes effect once at most.
    std::string changeId;
    /// The edit is made on no other revision; zero for any.
    std::uint64_t onRevision = 0;
};

/// How far back audit records are wanted. Each bound ends the reading; zero is no bound.
struct HistoryRange {
    std::int64_t sinceWallClockMs = 0;
    /// Records of this revision and later ones.
    std::uint64_t sinceRevision = 0;
    std::size_t maximumRecords = 0;

    bool operator==(const HistoryRange &) const = default;
};

/// Makes accepted changes: each is one conditional write of the table with its audit record.
///
/// Racing editors: edits of different rows both go in, by reading and applying again; of two edits of one row the later
/// fails with RowConflict, which names both values and who won. A write whose answer was lost is looked for by its
/// change id before anything is written again.
///
/// Single-threaded but for the store's callbacks, which may come on any thread; an edit's steps follow one another. The
/// store, timers, queue and random source must outlive the edits under way.
class TableEditor
{
public:
    TableEditor(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                TableEditorSettings settings = {});

    /// The table as the store has it; an empty one at revision zero when there is none yet.
    void read(std::function<void(absl::StatusOr<TableDocument>)> callback);

    /// Makes an edit. Gives its audit record; one without changes, at the revision in force, when all stood so already.
    ///
    /// TableInvalid, RowConflict, RowMissing: nothing was changed. VersionConflict: the table is not at `onRevision`.
    /// StoreUnavailable: nothing was changed. StoreTimeout with an unknown outcome: the message names the change id to
    /// send it again under. ObjectTooLarge: the table would not fit its object. ObjectMalformed: the table in the store
    /// is none, or of a newer program's form.
    void submit(TableEdit edit, std::function<void(absl::StatusOr<AuditRecord>)> callback);

    /// Audit records of the range, newest first.
    void history(const HistoryRange &range, std::function<void(absl::StatusOr<std::vector<AuditRecord>>)> callback);

private:
    ObjectStore &m_store;
    TimerService &m_timers;
    TaskQueue &m_tasks;
    RandomSource &m_random;
    TableEditorSettings m_settings;
};

/// The change id that a failure of unknown outcome names, or an empty text.
std::string changeIdOf(const absl::Status &status);

/// As `failure`, naming the change id.
absl::Status withChangeId(absl::Status failure, const std::string &changeId);

/// The table's document from an answer of the store to reading `kTableKey`.
absl::StatusOr<TableDocument> documentOf(const absl::StatusOr<StoredObject> &object);

}
