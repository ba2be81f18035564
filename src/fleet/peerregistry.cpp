#include "peerregistry.h"

#include "log.h"
#include "peerentry.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("peers");

ObjectFollowerSettings followerSettings()
{
    ObjectFollowerSettings follower;
    // Many processes start or stop together, for example at a release or after a power failure. All changes within this
    // time are read together.
    follower.changePause = std::chrono::milliseconds(200);
    return follower;
}

}

PeerRegistry::PeerRegistry(ObjectStore &store, TimerService &timers, RandomSource &random, Callback onChanged)
    : m_onChanged(std::move(onChanged))
    , m_follower(store, timers, random, kPeersPrefix, *this, followerSettings())
{
}

void PeerRegistry::objectsListed(const std::vector<StoredObject> &objects)
{
    m_isKnown = true;
    m_peers.clear();
    for (const StoredObject &object : objects) {
        updatePeer(object);
    }
    m_onChanged(m_peers);
}

void PeerRegistry::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        updatePeer(object);
    }
    m_onChanged(m_peers);
}

void PeerRegistry::updatePeer(const StoredObject &object)
{
    const std::string name = object.key.substr(std::char_traits<char>::length(kPeersPrefix));
    if (object.version == 0) {
        m_peers.erase(name);
        return;
    }
    const absl::StatusOr<FleetPeer> peer = readPeerEntry(object.value);
    if (!peer.ok()) {
        kLog.error("the entry of a peer can't be read",
                   {field("process", name), field("error", std::string(peer.status().message()))});
        return;
    }
    m_peers[name] = *peer;
    kLog.debug("known", {field("process", name), field("address", peer->address)});
}

}
