#include "loadpeers.h"

#include "peerentry.h"

#include <string_view>
#include <utility>

namespace RadishSwitch
{

LoadPeers::LoadPeers(ObjectStore &store, TimerService &timers, RandomSource &random, Callback onListed,
                     LoadPeersSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_onListed(std::move(onListed))
    , m_settings(settings)
{
}

LoadPeers::~LoadPeers()
{
    m_timers.cancel(m_timer);
}

Duration LoadPeers::randomSpread()
{
    return Duration(
        static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(m_settings.spread.count()) + 1)));
}

void LoadPeers::start(bool isFirstStart)
{
    m_isStarted = true;
    isFirstStart ? schedule(m_settings.firstDelay + randomSpread()) : read();
}

void LoadPeers::schedule(Duration delay)
{
    m_timers.cancel(m_timer);
    m_dueAt = m_timers.now() + delay;
    m_timer = m_timers.after(delay, [this] {
        m_timer = 0;
        read();
    });
}

void LoadPeers::refresh()
{
    const Instant earliest = m_readAt + m_settings.leastInterval;
    if (m_isStarted && !m_isReading && m_dueAt > earliest) {
        schedule(std::max(earliest - m_timers.now(), Duration::zero()));
    }
}

void LoadPeers::read()
{
    m_isReading = true;
    m_readAt = m_timers.now();
    m_store.listRelaxed(
        kPeersPrefix, [this, alive = std::weak_ptr<int>(m_alive)](const absl::StatusOr<StoreChanges> &list) {
            if (alive.expired()) {
                return;
            }
            m_isReading = false;
            schedule(list.ok() ? m_settings.interval - randomSpread() : m_settings.leastInterval + randomSpread());
            if (list.ok()) {
                handleList(list->objects);
            }
        });
}

void LoadPeers::handleList(const std::vector<StoredObject> &objects)
{
    Peers peers;
    for (const StoredObject &object : objects) {
        absl::StatusOr<FleetPeer> peer = readPeerEntry(object.value);
        if (peer.ok()) {
            peers[object.key.substr(std::string_view(kPeersPrefix).size())] = *std::move(peer);
        }
    }
    m_onListed(peers);
}

}
