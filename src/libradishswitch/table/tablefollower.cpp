#include "table/tablefollower.h"

#include "table/tablefollower_p.h"

namespace RadishSwitch
{

namespace
{

/// The records after `fromRevision`, or none when the kept ones do not reach back so far.
std::vector<AuditRecord> recordsSince(const TableDocument &document, std::uint64_t fromRevision)
{
    std::vector<AuditRecord> records;
    for (const AuditRecord &record : document.recent) {
        if (record.revision > fromRevision) {
            records.push_back(record);
        }
    }
    const bool isComplete = !records.empty() && records.front().revision == fromRevision + 1;
    return isComplete ? records : std::vector<AuditRecord>();
}

}

TableFollower::TableFollower(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                             TablePeerPort &peers, TableFollowerSettings settings)
    : d(std::make_shared<Private>(store, timers, tasks, random, peers, settings))
{
}

TableFollower::~TableFollower()
{
    d->stop();
}

void TableFollower::start()
{
    d->start();
}

void TableFollower::stop()
{
    d->stop();
}

void TableFollower::setWatching(bool watching)
{
    d->setWatching(watching);
}

SteeringTablePointer TableFollower::current() const
{
    return d->held()->table;
}

TableFollower::SubscriptionId TableFollower::subscribe(Callback callback)
{
    return d->subscribe(std::move(callback));
}

void TableFollower::unsubscribe(SubscriptionId id)
{
    d->unsubscribe(id);
}

absl::Status TableFollower::offer(std::uint64_t revision, const std::string &bytes)
{
    return d->offer(revision, bytes);
}

void TableFollower::peerHasRevision(std::uint64_t revision, const std::string &peer)
{
    d->peerHasRevision(revision, peer);
}

std::string TableFollower::documentSince(std::uint64_t fromRevision) const
{
    const HeldTablePointer held = d->held();
    const TableDocument &document = held->document;
    if (document.revision <= fromRevision) {
        return {};
    }
    std::vector<AuditRecord> records = recordsSince(document, fromRevision);
    if (fromRevision == 0 || records.empty()) {
        return document.encode();
    }
    return TableDelta{fromRevision, document.revision, std::move(records), document.newestArchive, held->rowsDigest}
        .encode();
}

TableFollowerStatus TableFollower::status() const
{
    return d->status();
}

}
