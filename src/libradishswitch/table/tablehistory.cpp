#include "table/tablehistory.h"

#include "base/callbackwithtimeout.h"
#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

struct Walk {
    ObjectStore &store;
    TimerService &timers;
    Duration callDeadline;
    TableHistory::Visitor visit;
    std::function<void(absl::Status)> done;
};

void readArchive(const std::shared_ptr<Walk> &walk, std::uint64_t firstRevision);

void takeArchive(const std::shared_ptr<Walk> &walk, std::uint64_t firstRevision,
                 const absl::StatusOr<StoredObject> &object)
{
    if (!object.ok()) {
        walk->done(object.status());
        return;
    }
    const absl::StatusOr<AuditArchive> archive = AuditArchive::decode(object->value);
    if (!archive.ok()) {
        walk->done(archive.status());
        return;
    }
    // The links must go back, or a broken one would lead in a circle for ever.
    if (archive->previousArchive >= firstRevision) {
        walk->done(makeFailure(FailureCode::ObjectMalformed, object->key + " links to a later archive"));
        return;
    }
    if (!walk->visit(*archive) || archive->previousArchive == 0) {
        walk->done(absl::OkStatus());
        return;
    }
    readArchive(walk, archive->previousArchive);
}

void readArchive(const std::shared_ptr<Walk> &walk, std::uint64_t firstRevision)
{
    walk->store.get(
        archiveKey(firstRevision),
        callbackWithTimeout<StoredObject>(walk->timers, walk->callDeadline,
                                          [walk, firstRevision](const absl::StatusOr<StoredObject> &object) {
                                              takeArchive(walk, firstRevision, object);
                                          }));
}

}

TableHistory::TableHistory(ObjectStore &store, TimerService &timers, Duration callDeadline)
    : m_store(store)
    , m_timers(timers)
    , m_callDeadline(callDeadline)
{
}

void TableHistory::walk(std::uint64_t newestArchive, Visitor visit, std::function<void(absl::Status)> done) const
{
    if (newestArchive == 0) {
        done(absl::OkStatus());
        return;
    }
    readArchive(std::make_shared<Walk>(Walk{m_store, m_timers, m_callDeadline, std::move(visit), std::move(done)}),
                newestArchive);
}

}
