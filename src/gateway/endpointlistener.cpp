#include "endpointlistener.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("endpoints");

/// Maximum number of unreadable entries that are logged; bounds the memory for their keys.
constexpr std::size_t kMaximumLoggedEntries = 1000;

/// Maximum time for which an endpoint is treated as cold, whatever its entry states.
constexpr Duration kMaximumColdTime = std::chrono::seconds(60);

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
    for (const EndpointId &endpoint : m_gate.registry().replaceAll(listings, m_timers.now())) {
        handleRestart(endpoint);
    }
    m_gate.noteRegistryChanged();
}

void EndpointListener::objectsChanged(const std::vector<StoredObject> &objects)
{
    for (const StoredObject &object : objects) {
        apply(object);
    }
    m_gate.noteRegistryChanged();
}

void EndpointListener::apply(const StoredObject &object)
{
    const EndpointId endpoint = m_catalogue.endpointOf(object.key);
    if (object.version == 0) {
        kLog.info("endpoint removed from the list", {field("endpoint", endpoint.value())});
        return unlist(endpoint);
    }
    // An unreadable entry, for example one overwritten by another process, removes the endpoint until it writes the
    // entry again.
    const std::optional<EndpointListing> listing = read(object);
    listing ? applyListing(*listing, object.version) : unlist(endpoint);
}

void EndpointListener::applyListing(const EndpointListing &listing, std::uint64_t revision)
{
    const ListingOutcome outcome = m_gate.registry().list(listing, m_timers.now());
    if (outcome == ListingOutcome::Outdated) {
        kLog.info("entry of an earlier incarnation ignored",
                  {field("endpoint", listing.id.value()), field("born_at_ms", listing.startedAtMilliseconds)});
        return;
    }
    if (outcome == ListingOutcome::Restarted) {
        handleRestart(listing.id);
    }
    kLog.info(listing.isLeaving ? "leaving" : "listed",
              {field("endpoint", listing.id.value()), field("pool", listing.pool.value()),
               field("address", listing.address), field("born_at_ms", listing.startedAtMilliseconds),
               field("cold_for", listing.coldFor), field("revision", revision)});
    if (listing.isLeaving) {
        m_onUnlisted(listing.id);
    }
}

// Idle connections to the earlier incarnation are unusable and have to be closed.
void EndpointListener::handleRestart(const EndpointId &endpoint)
{
    kLog.info("started again", {field("endpoint", endpoint.value())});
    m_onUnlisted(endpoint);
}

void EndpointListener::unlist(const EndpointId &endpoint)
{
    m_gate.registry().unlist(endpoint, m_timers.now());
    m_onUnlisted(endpoint);
}

// Without the bound, an endpoint that states a cold time of an hour would hardly receive calls during that hour.
void EndpointListener::limitColdTime(EndpointListing &listing)
{
    if (listing.coldFor > kMaximumColdTime) {
        kLog.error("cold time exceeds the maximum and is reduced to it",
                   {field("endpoint", listing.id.value()), field("cold_for", listing.coldFor)});
        listing.coldFor = kMaximumColdTime;
    }
}

std::optional<EndpointListing> EndpointListener::read(const StoredObject &object)
{
    absl::StatusOr<EndpointListing> listing = m_catalogue.readEndpoint(object);
    if (listing.ok()) {
        m_loggedUnreadable.erase(object.key);
        limitColdTime(*listing);
        return std::move(*listing);
    }
    // The writer of an unreadable entry may write it again with each heartbeat, so each key is logged only once.
    if (m_loggedUnreadable.size() < kMaximumLoggedEntries && m_loggedUnreadable.insert(object.key).second) {
        kLog.error("unreadable endpoint entry ignored",
                   {field("error", std::string(listing.status().message())), field("revision", object.version)});
    }
    return std::nullopt;
}

}
