#include "table/tableeditoperation.h"

#include "base/callbackwithtimeout.h"
#include "base/failure.h"
#include "table/rowconflict.h"
#include "table/tablecheck.h"
#include "table/tablehistory.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kFreshNameDigits = 16;

/// "41-9f3a...": the revision in force when the id was made goes first, so that the search for it can stop there. An id
/// of another form may be of any age.
std::uint64_t baseRevisionOf(const std::string &changeId)
{
    std::uint64_t revision = 0;
    const std::size_t dash = changeId.find('-');
    const bool isOurs = dash != std::string::npos && changeId.size() == dash + 1 + kFreshNameDigits;
    return isOurs && absl::SimpleAtoi(changeId.substr(0, dash), &revision) ? revision : 0;
}

/// The rows with the new version on each row that changed.
TableRows withVersions(const TableRows &before, TableRows after, const std::vector<RowChange> &changes,
                       std::uint64_t revision)
{
    for (const RowChange &change : changes) {
        if (std::optional<TableRow> row = after.find(change.kind, change.name)) {
            after.put(withRowVersion(*std::move(row), revision));
        }
    }
    // A row that was removed and added again with the same cells has not changed; it keeps its version.
    for (const TableRow &row : before.allRows()) {
        const std::optional<TableRow> now = after.find(kindOf(row), nameOf(row));
        if (now && rowVersionOf(*now) == 0) {
            after.put(withRowVersion(*now, rowVersionOf(row)));
        }
    }
    return after;
}

bool changesRow(const AuditRecord &record, const RowConflict &conflict)
{
    return std::any_of(record.changes.begin(), record.changes.end(), [&conflict](const RowChange &change) {
        return change.kind == conflict.kind && change.name == conflict.row;
    });
}

const AuditRecord *lastChangeOf(const std::vector<AuditRecord> &records, const RowConflict &conflict)
{
    const auto it = std::find_if(records.rbegin(), records.rend(), [&conflict](const AuditRecord &record) {
        return changesRow(record, conflict);
    });
    return it == records.rend() ? nullptr : &*it;
}

RowConflict withWinner(RowConflict conflict, const AuditRecord *winner)
{
    if (winner) {
        conflict.winner = winner->who;
        conflict.fromWhere = winner->fromWhere;
        conflict.wallClockMs = winner->wallClockMs;
        conflict.presentVersion = winner->revision;
    }
    return conflict;
}

std::size_t encodedSize(const std::vector<AuditRecord> &records)
{
    return AuditArchive{records, 0}.encode().size();
}

}

TableEditOperation::TableEditOperation(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                                       const TableEditorSettings &settings, TableEdit edit, Callback callback)
    : m_store(store)
    , m_timers(timers)
    , m_tasks(tasks)
    , m_random(random)
    , m_settings(settings)
    , m_edit(std::move(edit))
    , m_callback(std::move(callback))
    , m_retryDelay(settings.firstRetryDelay)
{
}

template<typename T>
std::function<void(absl::StatusOr<T>)>
TableEditOperation::guarded(void (TableEditOperation::*next)(const absl::StatusOr<T> &))
{
    return callbackWithTimeout<T>(m_timers, m_settings.callDeadline,
                                  [self = shared_from_this(), next](const auto &answer) {
                                      (self.get()->*next)(answer);
                                  });
}

void TableEditOperation::start()
{
    m_deadline = m_timers.now() + m_settings.deadline;
    // A given id may have been used by a try whose answer nobody has seen.
    m_mayBeApplied = !m_edit.changeId.empty();
    m_baseRevision = baseRevisionOf(m_edit.changeId);
    read();
}

void TableEditOperation::read()
{
    m_store.get(kTableKey, guarded(&TableEditOperation::onRead));
}

void TableEditOperation::onRead(const absl::StatusOr<StoredObject> &object)
{
    absl::StatusOr<TableDocument> document = documentOf(object);
    if (!document.ok()) {
        if (failureCode(document.status()) == FailureCode::ObjectMalformed) {
            finish(document.status());
        } else {
            retry(document.status());
        }
        return;
    }
    if (document->format > kTableFormat) {
        finish(makeFailure(FailureCode::ObjectMalformed,
                           "the table was written by a newer program; this one would lose some of it"));
        return;
    }
    m_document = *std::move(document);
    m_version = object.ok() ? object->version : 0;
    if (m_document.revision < leastRevision()) {
        retry(makeFailure(FailureCode::StoreUnavailable, "the store answers with an older table than was seen before"));
        return;
    }
    if (const AuditRecord *record = m_document.findChange(m_edit.changeId)) {
        finish(*record);
        return;
    }
    if (m_edit.changeId.empty()) {
        m_edit.changeId = absl::StrCat(m_document.revision, "-", m_random.freshName());
        m_baseRevision = m_document.revision;
    }
    const bool mayBeArchived = m_document.newestArchive > 0 && !m_document.recent.empty()
        && m_document.recent.front().revision > m_baseRevision + 1;
    if (m_mayBeApplied && (mayBeArchived || (m_document.recent.empty() && m_document.newestArchive > 0))) {
        findInArchives();
    } else {
        apply();
    }
}

/// The lowest revision that a table can have which is not older than what this edit was made on.
std::uint64_t TableEditOperation::leastRevision() const
{
    std::uint64_t least = m_baseRevision;
    for (const TableChangePointer &change : m_edit.changes) {
        least = std::max(least, change->expectedVersion());
    }
    return least;
}

void TableEditOperation::findInArchives()
{
    const auto found = std::make_shared<std::optional<AuditRecord>>();
    TableHistory(m_store, m_timers, m_settings.callDeadline)
        .walk(
            m_document.newestArchive,
            [self = shared_from_this(), found](const AuditArchive &archive) {
                for (const AuditRecord &record : archive.records) {
                    if (record.changeId == self->m_edit.changeId) {
                        *found = record;
                        return false;
                    }
                }
                return archive.records.empty() || archive.records.front().revision > self->m_baseRevision + 1;
            },
            [self = shared_from_this(), found](const absl::Status &status) {
                if (*found) {
                    self->finish(**found);
                } else if (!status.ok()) {
                    self->retry(status);
                } else {
                    self->apply();
                }
            });
}

void TableEditOperation::apply()
{
    if (m_edit.onRevision != 0 && m_edit.onRevision != m_document.revision) {
        finish(
            makeFailure(FailureCode::VersionConflict,
                        absl::StrCat("the table is at revision ", m_document.revision, ", not ", m_edit.onRevision)));
        return;
    }
    m_rows = m_document.rows;
    for (const TableChangePointer &change : m_edit.changes) {
        absl::StatusOr<TableRows> changed = change->apply(std::move(m_rows));
        if (!changed.ok()) {
            explainConflict(changed.status());
            return;
        }
        m_rows = *std::move(changed);
    }
    m_changes = differencesBetween(m_document.rows, m_rows);
    if (m_changes.empty()) {
        AuditRecord record = makeRecord({});
        record.revision = m_document.revision;
        finish(std::move(record));
        return;
    }
    const std::vector<TableProblem> problems = checkTable(m_rows);
    if (!problems.empty()) {
        finish(tableInvalid(problems));
        return;
    }
    archive();
}

/// Finds who made the change in force, for the loser of a race.
void TableEditOperation::explainConflict(const absl::Status &status)
{
    const std::optional<RowConflict> conflict = rowConflictOf(status);
    if (!conflict) {
        finish(status);
        return;
    }
    if (const AuditRecord *winner = lastChangeOf(m_document.recent, *conflict)) {
        finish(rowConflictFailure(withWinner(*conflict, winner)));
        return;
    }
    const auto found = std::make_shared<std::optional<AuditRecord>>();
    TableHistory(m_store, m_timers, m_settings.callDeadline)
        .walk(
            m_document.newestArchive,
            [found, conflict = *conflict](const AuditArchive &archive) {
                if (const AuditRecord *winner = lastChangeOf(archive.records, conflict)) {
                    *found = *winner;
                }
                return !found->has_value();
            },
            [self = shared_from_this(), found, conflict = *conflict](const absl::Status &) {
                self->finish(rowConflictFailure(withWinner(conflict, *found ? &**found : nullptr)));
            });
}

AuditRecord TableEditOperation::makeRecord(std::vector<RowChange> changes) const
{
    AuditRecord record;
    record.changeId = m_edit.changeId;
    record.revision = m_document.revision + 1;
    record.wallClockMs = m_timers.wallClockMilliseconds();
    record.who = m_edit.who;
    record.fromWhere = m_edit.fromWhere;
    record.why = m_edit.why;
    record.changes = std::move(changes);
    return record;
}

/// The records that go into the next archive: as many of the oldest as the bounds allow. The rule looks at nothing but
/// accepted records, so that two editors that archive at once write the same bytes under the same key.
AuditArchive TableEditOperation::nextArchive() const
{
    AuditArchive archive;
    archive.previousArchive = m_document.newestArchive;
    std::size_t bytes = 0;
    for (const AuditRecord &record : m_document.recent) {
        bytes += encodedSize({record});
        archive.records.push_back(record);
        if (archive.records.size() >= m_settings.archiveRecords || bytes >= m_settings.archiveBytes) {
            return archive;
        }
    }
    return {};
}

/// Old records are in their archive before the table is written without them, so that a failure between the two leaves
/// them in both places and never in none.
void TableEditOperation::archive()
{
    const AuditArchive archive = nextArchive();
    if (archive.records.empty()) {
        write();
        return;
    }
    const std::uint64_t firstRevision = archive.records.front().revision;
    m_document.recent.erase(m_document.recent.begin(), m_document.recent.begin() + archive.records.size());
    m_document.newestArchive = firstRevision;
    m_store.put(archiveKey(firstRevision), archive.encode(), 0, guarded(&TableEditOperation::onArchived));
}

void TableEditOperation::onArchived(const absl::StatusOr<std::uint64_t> &version)
{
    // Another editor was there first, with the same records.
    if (version.ok() || failureCode(version.status()) == FailureCode::VersionConflict) {
        write();
    } else {
        retry(version.status());
    }
}

void TableEditOperation::write()
{
    const AuditRecord record = makeRecord(m_changes);
    m_rows = withVersions(m_document.rows, std::move(m_rows), m_changes, record.revision);
    const std::string bytes = m_document.withChange(m_rows, record).encode();
    if (bytes.size() > kMaximumDocumentBytes) {
        finish(makeFailure(FailureCode::ObjectTooLarge,
                           absl::StrCat("the table would take ", bytes.size(), " bytes with this change; ",
                                        kMaximumDocumentBytes, " are allowed. Make it in smaller parts")));
        return;
    }
    m_written = record;
    m_store.put(kTableKey, bytes, m_version, guarded(&TableEditOperation::onWritten));
}

void TableEditOperation::onWritten(const absl::StatusOr<std::uint64_t> &version)
{
    if (version.ok()) {
        finish(m_written);
        return;
    }
    // The write may have taken effect. Only the next read, which looks for the change id, can tell; writing the change
    // again on top would do it twice.
    if (failureCode(version.status()) == FailureCode::StoreTimeout) {
        m_mayBeApplied = true;
    }
    retry(version.status());
}

void TableEditOperation::retry(const absl::Status &cause)
{
    const FailureCode code = failureCode(cause);
    m_unavailableTries = code == FailureCode::StoreUnavailable ? m_unavailableTries + 1 : 0;
    const bool isAway = m_unavailableTries >= m_settings.unavailableTries && !m_mayBeApplied;
    const bool canRetry = code == FailureCode::StoreUnavailable || code == FailureCode::StoreTimeout
        || code == FailureCode::VersionConflict;
    if (!canRetry || isAway) {
        finish(m_mayBeApplied ? outOfTime(cause) : cause);
        return;
    }
    const Duration delay(static_cast<Duration::rep>(m_retryDelay.count() * (0.5 + m_random.fraction())));
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.maximumRetryDelay);
    if (m_timers.now() + delay >= m_deadline) {
        finish(outOfTime(cause));
        return;
    }
    m_timers.after(delay, [self = shared_from_this()] {
        self->read();
    });
}

absl::Status TableEditOperation::outOfTime(const absl::Status &cause) const
{
    if (!m_mayBeApplied) {
        return cause;
    }
    const absl::Status failure = makeFailure(
        FailureCode::StoreTimeout,
        absl::StrCat("change ", m_edit.changeId, " may or may not be in the table; send it again under this id"));
    return withChangeId(withUnknownOutcome(failure), m_edit.changeId);
}

void TableEditOperation::finish(absl::StatusOr<AuditRecord> result)
{
    m_tasks.post([callback = std::move(m_callback), result = std::move(result)] {
        callback(result);
    });
}

}
