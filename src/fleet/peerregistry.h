#pragma once

#include "serving/homedirectory.h"
#include "serving/objectfollower.h"

#include <functional>
#include <map>

namespace RadishSwitch
{

/// Learns of the other processes of the fleet through the platform's store.
class PeerRegistry : private ObjectListener
{
public:
    using Callback = std::function<void(const std::map<std::string, FleetPeer> &peers)>;

    PeerRegistry(ObjectStore &store, TimerService &timers, RandomSource &random, Callback onChanged);

    /// Follows the others' objects; to be started by the owner.
    ObjectFollower &follower()
    {
        return m_follower;
    }

    /// Whether the others were listed once. Before that a gateway takes itself for the home of everything.
    bool isKnown() const
    {
        return m_isKnown;
    }

private:
    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;
    void takeIn(const StoredObject &object);

    const Callback m_onChanged;
    ObjectFollower m_follower;
    std::map<std::string, FleetPeer> m_peers;
    bool m_isKnown = false;
};

}
