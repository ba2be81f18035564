#include "peerannouncement.h"

#include "base/failure.h"
#include "peerentry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

/// Minimum delay before the next try after a failed call to the store. A random time up to the same length is added.
constexpr Duration kRetryPause = std::chrono::seconds(1);

}

PeerAnnouncement::PeerAnnouncement(ObjectStore &store, TimerService &timers, RandomSource &random,
                                   const std::string &instance, std::string value)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_key(kPeersPrefix + instance)
    , m_value(std::move(value))
{
}

PeerAnnouncement::~PeerAnnouncement()
{
    m_timers.cancel(m_timer);
}

void PeerAnnouncement::start(bool isFirstStart)
{
    isFirstStart ? write(0) : read();
}

void PeerAnnouncement::read()
{
    m_store.get(m_key, [this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<StoredObject> &object) {
        if (alive.expired()) {
            return;
        }
        if (object.ok()) {
            return object->value == m_value ? void() : write(object->version);
        }
        return failureCode(object.status()) == FailureCode::ObjectMissing ? write(0) : retryLater();
    });
}

void PeerAnnouncement::write(std::uint64_t version)
{
    m_store.put(m_key, m_value, version,
                [this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<std::uint64_t> &written) {
                    if (!alive.expired() && !written.ok()) {
                        retryLater();
                    }
                });
}

void PeerAnnouncement::retryLater()
{
    const Duration jitter(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(kRetryPause.count()))));
    m_timer = m_timers.after(kRetryPause + jitter, [this] {
        read();
    });
}

}
