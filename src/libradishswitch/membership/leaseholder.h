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
    /// A rival takes a lease over that it has seen unchanged for as long.
    Duration leaseDuration = std::chrono::seconds(10);
    Duration renewInterval = std::chrono::seconds(3);
    /// The holder trusts its lease up to this part of `leaseDuration` after it began the last renewal that went well.
    double trustedShare = 0.6;
};

/// A lease on an object of the store, with a fencing number that grows with each change of holder.
///
/// No clocks are compared: a rival waits on its own clock from the moment at which it saw the lease change, and the
/// holder counts on its own from before it asked for the change, so the holder stops first. A holder that is
/// paused between asking for its fence and using it is not stopped by that; the receivers of its orders refuse the
/// fence (OrderGate).
///
/// The store's answers must come under the same lock as the calls. All calls between `start` and `release` keep one
/// timer and at most one call to the store under way.
class LeaseHolder
{
public:
    LeaseHolder(ObjectStore &store, TimerService &timers, std::string key, IncarnationId me,
                LeaseSettings settings = {});
    ~LeaseHolder();
    LeaseHolder(const LeaseHolder &) = delete;
    LeaseHolder &operator=(const LeaseHolder &) = delete;

    /// Begins to try for the lease, and to renew it once it is held.
    void start();

    /// Gives the lease up, so that a rival need not wait.
    void release();

    /// The fencing number, while this process may act as the holder.
    std::optional<std::uint64_t> fence() const;

private:
    /// The object's content.
    struct Lease {
        std::string holder;
        std::uint64_t fence = 0;
        /// Grows with each renewal, so that the object's version shows that its holder lives.
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
    /// Answers that come after this object's end find it empty.
    std::shared_ptr<LeaseHolder *> m_self;
};

}
