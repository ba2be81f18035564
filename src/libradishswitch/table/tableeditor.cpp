#include "table/tableeditor.h"

#include "base/callbackwithtimeout.h"
#include "base/failure.h"
#include "table/tableeditoperation.h"
#include "table/tablehistory.h"

#include <absl/strings/cord.h>

namespace RadishSwitch
{

namespace
{

constexpr char kChangeIdPayload[] = "radishswitch/change-id";

struct HistoryReading {
    HistoryRange range;
    std::vector<AuditRecord> records;

    /// Takes records that are given oldest first; false once the range ends.
    bool take(const std::vector<AuditRecord> &oldestFirst)
    {
        for (auto it = oldestFirst.rbegin(); it != oldestFirst.rend(); ++it) {
            const bool isFull = range.maximumRecords != 0 && records.size() >= range.maximumRecords;
            if (isFull || it->wallClockMs < range.sinceWallClockMs || it->revision < range.sinceRevision) {
                return false;
            }
            records.push_back(*it);
        }
        return true;
    }
};

}

std::string changeIdOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(kChangeIdPayload);
    return payload ? std::string(*payload) : std::string();
}

absl::Status withChangeId(absl::Status failure, const std::string &changeId)
{
    failure.SetPayload(kChangeIdPayload, absl::Cord(changeId));
    return failure;
}

absl::StatusOr<TableDocument> documentOf(const absl::StatusOr<StoredObject> &object)
{
    if (object.ok()) {
        return TableDocument::decode(object->value);
    }
    if (failureCode(object.status()) == FailureCode::ObjectMissing) {
        return TableDocument();
    }
    return object.status();
}

TableEditor::TableEditor(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                         TableEditorSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_tasks(tasks)
    , m_random(random)
    , m_settings(settings)
{
}

void TableEditor::read(std::function<void(absl::StatusOr<TableDocument>)> callback)
{
    const auto answer = [&tasks = m_tasks, callback = std::move(callback)](const absl::StatusOr<StoredObject> &object) {
        tasks.post([callback, document = documentOf(object)] {
            callback(document);
        });
    };
    m_store.get(kTableKey, callbackWithTimeout<StoredObject>(m_timers, m_settings.callDeadline, answer));
}

void TableEditor::submit(TableEdit edit, std::function<void(absl::StatusOr<AuditRecord>)> callback)
{
    std::make_shared<TableEditOperation>(m_store, m_timers, m_tasks, m_random, m_settings, std::move(edit),
                                         std::move(callback))
        ->start();
}

void TableEditor::history(const HistoryRange &range,
                          std::function<void(absl::StatusOr<std::vector<AuditRecord>>)> callback)
{
    const TableHistory archives(m_store, m_timers, m_settings.callDeadline);
    read([archives, range, callback](absl::StatusOr<TableDocument> document) {
        if (!document.ok()) {
            callback(document.status());
            return;
        }
        const auto reading = std::make_shared<HistoryReading>();
        reading->range = range;
        const bool goesOn = reading->take(document->recent);
        archives.walk(
            goesOn ? document->newestArchive : 0,
            [reading](const AuditArchive &archive) {
                return reading->take(archive.records);
            },
            [reading, callback](absl::Status status) {
                if (status.ok()) {
                    callback(std::move(reading->records));
                } else {
                    callback(status);
                }
            });
    });
}

}
