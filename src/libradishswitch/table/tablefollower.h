#pragma once

#include "base/objectstore.h"
#include "base/randomsource.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "table/steeringtable.h"
#include "table/tabledocument.h"
#include "table/tablepeerport.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

struct TableFollowerSettings {
    /// A watch that has not answered for so long is given up and asked anew, whatever its connection says. The shorter
    /// one is for small tables: each watch that is still open at the store brings the whole table when it changes, so a
    /// large one is asked for less often, in proportion to its size.
    Duration shortestWatchDeadline = std::chrono::seconds(2);
    Duration longestWatchDeadline = std::chrono::seconds(12);
    /// Up to this size a table is small.
    std::size_t smallTableBytes = 64 * 1024;
    /// As the deadline of a watch, for listing.
    Duration callDeadline = std::chrono::seconds(2);
    /// A watcher lists about this often even if its watches look healthy; jittered.
    Duration relistInterval = std::chrono::minutes(5);
    /// Waits between failed calls, doubled up to the maximum; jittered.
    Duration firstRetryDelay = std::chrono::milliseconds(100);
    Duration maximumRetryDelay = std::chrono::seconds(3);
    /// A process that hears of no peer's table for so long asks the store itself.
    Duration peerSilence = std::chrono::seconds(5);
    /// How long a process that starts waits for peers before it asks the store itself; jittered.
    Duration startGrace = std::chrono::seconds(1);
    /// A peer that has not answered a pull for so long is passed over.
    Duration pullDeadline = std::chrono::milliseconds(700);
};

/// How a follower fares, for status pages.
struct TableFollowerStatus {
    std::uint64_t revision = 0;
    bool isAskingStore = false;
    /// Whether the store's last answer was one, and not a failure or silence.
    bool isStoreAnswering = false;
    std::uint64_t storeCalls = 0;
    std::uint64_t takenFromStore = 0;
    std::uint64_t takenFromPeers = 0;
    std::uint64_t bytesFromStore = 0;
    std::uint64_t bytesFromPeers = 0;
    /// Tables at the present revision or below it that were not taken.
    std::uint64_t staleIgnored = 0;
    std::uint64_t malformedIgnored = 0;

    bool operator==(const TableFollowerStatus &) const = default;
};

/// Keeps a process's table up with the fleet's, from the store and from peers. Its revision only ever grows.
///
/// All members may be called on any thread. Lock order: the follower's mutex goes before any lock that the store, the
/// timers, the queue or the peers take inside a call; none of them may call back from inside it.
class TableFollower
{
public:
    using Callback = std::function<void(SteeringTablePointer)>;
    using SubscriptionId = std::uint64_t;

    TableFollower(ObjectStore &store, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                  TablePeerPort &peers, TableFollowerSettings settings = {});
    ~TableFollower();

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /// Begins to follow. Before that the follower asks nobody.
    void start();

    /// Asks nobody any more; the table stays.
    void stop();

    /// Whether this process is one of the few of its availability zone that watch the store. The caller decides.
    void setWatching(bool watching);

    /// The table in force here; one of revision zero before any was learnt. Never null.
    SteeringTablePointer current() const;

    /// Calls back through the queue with each newer table, in order of revisions, one at a time; and at once with the
    /// present one if there is any. A table that was overtaken meanwhile may be left out.
    SubscriptionId subscribe(Callback callback);

    /// No new call begins after this; one that runs is not waited for.
    void unsubscribe(SubscriptionId id);

    /// Takes a peer's table, whole or as a delta, if it is newer. Also OK when it is not newer. ObjectMalformed when
    /// the bytes are no table; VersionConflict when a delta does not fit the present table.
    absl::Status offer(std::uint64_t revision, const std::string &bytes);

    /// A peer's heartbeat told its revision. A newer one is pulled from a peer that has it.
    void peerHasRevision(std::uint64_t revision, const std::string &peer);

    /// What a peer at this revision lacks, as a delta where the kept records reach back so far; empty when nothing.
    std::string documentSince(std::uint64_t fromRevision) const;

    TableFollowerStatus status() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

}
