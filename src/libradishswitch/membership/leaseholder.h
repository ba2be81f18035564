#pragma once

#include "base/identifier.h"
#include "base/objectstore.h"
#include "base/timerservice.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

struct LeaseSettings {
    /// Another process takes over a lease that it has seen unchanged for this long.
    Duration leaseDuration = std::chrono::seconds(10);
    /// Interval between renewals, and between attempts to acquire the lease.
    Duration renewInterval = std::chrono::seconds(3);
    /// The holder relies on its lease for this fraction of `leaseDuration`, counted from the start of its last
    /// successful renewal.
    double trustedShare = 0.6;
};

/// A lease on an object of the object store, with a fencing number that increases whenever the holder changes.
///
/// No clocks are compared. A rival process measures on its own clock from the time at which it saw the lease change.
/// The holder measures on its own clock from before it requested the change, so that the holder stops first. This does
/// not stop a holder that is paused between reading its fencing number and using it; the receivers of its orders
/// therefore refuse old fencing numbers (OrderGate).
///
/// The store's answers must be delivered under the same lock as the calls of this class. Between `start` and `release`
/// the class uses one timer, and has at most one call to the store under way.
class LeaseHolder
{
public:
    LeaseHolder(ObjectStore &store, TimerService &timers, std::string key, IncarnationId me,
                LeaseSettings settings = {});
    ~LeaseHolder();
    LeaseHolder(const LeaseHolder &) = delete;
    LeaseHolder &operator=(const LeaseHolder &) = delete;

    /// Starts trying to acquire the lease, and renews it once it is held.
    void start();

    /// Gives up the lease, so that a rival does not have to wait until it expires.
    void release();

    /// The fencing number while this process may act as the lease holder, else nothing.
    std::optional<std::uint64_t> fence() const;

private:
    /// The content of the lease object.
    struct Lease {
        std::string holder;
        std::uint64_t fence = 0;
        /// Increases with each renewal. The write changes the version of the object, which shows rivals that the holder
        /// is alive.
        std::uint64_t renewals = 0;
    };

    static absl::StatusOr<Lease> parse(const std::string &value);
    static std::string serialize(const Lease &lease);

    void read();
    void handleRead(const absl::StatusOr<StoredObject> &object);
    void handleLease(const StoredObject &object, const Lease &lease);
    void write(Lease lease, std::uint64_t version);
    void handleWritten(const absl::StatusOr<std::uint64_t> &version, const Lease &lease, Instant requestedAt);
    bool isRivalExpired(std::uint64_t version);

    ObjectStore &m_store;
    TimerService &m_timers;
    const std::string m_key;
    const IncarnationId m_ownIncarnation;
    const LeaseSettings m_settings;
    TimerId m_timer = 0;
    bool m_isBusy = false;
    bool m_isReleasing = false;
    std::uint64_t m_fence = 0;
    Instant m_confirmedAt{};
    std::uint64_t m_rivalVersion = 0;
    Instant m_rivalVersionSeenAt{};
    /// Shared with the callbacks of the store; set to null by the destructor, so that answers that arrive later are
    /// dropped.
    std::shared_ptr<LeaseHolder *> m_self;
};

}
