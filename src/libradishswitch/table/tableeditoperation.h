#pragma once

#include "table/tableeditor.h"

#include <memory>

namespace RadishSwitch
{

/// One edit on its way: read, apply, archive, write, and round again until it is in or has failed.
class TableEditOperation : public std::enable_shared_from_this<TableEditOperation>
{
public:
    using Callback = std::function<void(absl::StatusOr<AuditRecord>)>;

    TableEditOperation(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                       const TableEditorSettings &settings, TableEdit edit, Callback callback);

    void start();

private:
    void read();
    void onRead(const absl::StatusOr<StoredObject> &object);
    void findInArchives();
    void apply();
    void explainConflict(const absl::Status &status);
    void archive();
    AuditArchive nextArchive() const;
    void onArchived(const absl::StatusOr<std::uint64_t> &version);
    void write();
    void onWritten(const absl::StatusOr<std::uint64_t> &version);
    void retry(const absl::Status &cause);
    void finish(absl::StatusOr<AuditRecord> result);
    absl::Status outOfTime(const absl::Status &cause) const;
    std::uint64_t leastRevision() const;
    AuditRecord makeRecord(std::vector<RowChange> changes) const;

    /// A callback for the store that goes on with `next`, after the call deadline at the latest.
    template<typename T>
    std::function<void(absl::StatusOr<T>)> guarded(void (TableEditOperation::*next)(const absl::StatusOr<T> &));

    ObjectStore &m_store;
    TimerService &m_timers;
    TaskQueue &m_tasks;
    RandomSource &m_random;
    const TableEditorSettings m_settings;
    TableEdit m_edit;
    Callback m_callback;

    Instant m_deadline{};
    Duration m_retryDelay{};
    int m_unavailableTries = 0;
    /// A write was sent whose effect is not known.
    bool m_mayBeApplied = false;
    /// The revision before which the change id cannot have been used.
    std::uint64_t m_baseRevision = 0;
    TableDocument m_document;
    std::uint64_t m_version = 0;
    TableRows m_rows;
    std::vector<RowChange> m_changes;
    AuditRecord m_written;
};

}
