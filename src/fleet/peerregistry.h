#pragma once

#include "serving/homedirectory.h"
#include "serving/objectfollower.h"

#include <functional>
#include <map>

namespace RadishSwitch
{

/// Keeps a list of the other processes of the fleet by following their objects in the platform's store.
class PeerRegistry : private ObjectListener
{
public:
    using Callback = std::function<void(const std::map<std::string, FleetPeer> &peers)>;

    PeerRegistry(ObjectStore &store, TimerService &timers, RandomSource &random, Callback onChanged);

    /// Follows the objects of the other processes. The owner of the registry must start it.
    ObjectFollower &follower()
    {
        return m_follower;
    }

    /// Whether the other processes have been listed at least once. Until then a gateway knows no other process and acts
    /// as the home of all budgets.
    bool isKnown() const
    {
        return m_isKnown;
    }

private:
    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;
    void updatePeer(const StoredObject &object);

    const Callback m_onChanged;
    ObjectFollower m_follower;
    std::map<std::string, FleetPeer> m_peers;
    bool m_isKnown = false;
};

}
