#pragma once

#include "serving/callgate.h"
#include "serving/objectlistener.h"
#include "servingcatalogue.h"

#include <absl/container/flat_hash_set.h>

#include <functional>

namespace RadishSwitch
{

/// Brings the platform's list of endpoints into the gate's registry.
class EndpointListener : public ObjectListener
{
public:
    /// `onUnlisted` hears of endpoints that take no new calls any more.
    EndpointListener(const ServingCatalogue &catalogue, CallGate &gate, TimerService &timers,
                     std::function<void(const EndpointId &)> onUnlisted);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    std::optional<EndpointListing> read(const StoredObject &object);
    static void boundColdSpan(EndpointListing &listing);
    void apply(const StoredObject &object);
    void take(const EndpointListing &listing, std::uint64_t revision);
    void unlist(const EndpointId &endpoint);
    void noteReborn(const EndpointId &endpoint);

    const ServingCatalogue &m_catalogue;
    CallGate &m_gate;
    TimerService &m_timers;
    const std::function<void(const EndpointId &)> m_onUnlisted;
    /// Keys of entries that can't be read and were told of.
    absl::flat_hash_set<std::string> m_unreadable;
};

}
