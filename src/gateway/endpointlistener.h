#pragma once

#include "serving/callgate.h"
#include "serving/objectlistener.h"
#include "servingcatalogue.h"

#include <absl/container/flat_hash_set.h>

#include <functional>

namespace RadishSwitch
{

/// Copies the platform's list of endpoints into the registry of the call gate.
class EndpointListener : public ObjectListener
{
public:
    /// `onUnlisted` is called for endpoints that left the list, are leaving, or have restarted.
    EndpointListener(const ServingCatalogue &catalogue, CallGate &gate, TimerService &timers,
                     std::function<void(const EndpointId &)> onUnlisted);

    void objectsListed(const std::vector<StoredObject> &objects) override;
    void objectsChanged(const std::vector<StoredObject> &objects) override;

private:
    std::optional<EndpointListing> read(const StoredObject &object);
    static void limitColdTime(EndpointListing &listing);
    void apply(const StoredObject &object);
    void applyListing(const EndpointListing &listing, std::uint64_t revision);
    void unlist(const EndpointId &endpoint);
    void handleRestart(const EndpointId &endpoint);

    const ServingCatalogue &m_catalogue;
    CallGate &m_gate;
    TimerService &m_timers;
    const std::function<void(const EndpointId &)> m_onUnlisted;
    /// Keys of unreadable entries that have been logged.
    absl::flat_hash_set<std::string> m_loggedUnreadable;
};

}
