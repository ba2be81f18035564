#include "endpointlistener.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("endpoints");

}

EndpointListener::EndpointListener(const ServingCatalogue &catalogue, CallGate &gate, TimerService &timers,
                                   std::function<void(const EndpointId &)> onUnlisted)
    : m_catalogue(catalogue)
    , m_gate(gate)
    , m_timers(timers)
    , m_onUnlisted(std::move(onUnlisted))
{
}

void EndpointListener::objectsListed(const std::vector<StoredObject> &objects)
{
    std::vector<EndpointListing> listings;
    for (const StoredObject &object : objects) {
        if (std::optional<EndpointListing> listing = read(object)) {
            listings.push_back(std::move(*listing));
        }
    }
    kLog.info("listed", {field("endpoints", listings.size())});
    m_gate.roster().replaceAll(listings, m_timers.now());
    m_gate.noteRosterChanged();
}

void EndpointListener::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        apply(object);
    }
    m_gate.noteRosterChanged();
}

void EndpointListener::apply(const StoredObject &object)
{
    const EndpointId endpoint = m_catalogue.endpointOf(object.key);
    if (object.version == 0) {
        kLog.info("gone from the list", {field("endpoint", endpoint.value())});
        m_gate.roster().unlist(endpoint, m_timers.now());
        m_onUnlisted(endpoint);
        return;
    }
    const std::optional<EndpointListing> listing = read(object);
    if (!listing) {
        return;
    }
    m_gate.roster().list(*listing);
    kLog.info(listing->isLeaving ? "leaving" : "listed",
              {field("endpoint", endpoint.value()), field("pool", listing->pool.value()),
               field("address", listing->address), field("revision", object.version)});
    if (listing->isLeaving) {
        m_onUnlisted(endpoint);
    }
}

std::optional<EndpointListing> EndpointListener::read(const StoredObject &object) const
{
    absl::StatusOr<EndpointListing> listing = m_catalogue.readEndpoint(object);
    if (!listing.ok()) {
        kLog.error("an entry can't be read", {field("error", std::string(listing.status().message()))});
        return std::nullopt;
    }
    return std::move(*listing);
}

}
