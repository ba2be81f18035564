#include "endpointlistener.h"

#include "log.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("endpoints");

/// Entries that can't be read and were told of, at most.
constexpr std::size_t kMostTold = 1000;

/// Longest time for which an endpoint that says so is taken for cold.
constexpr Duration kLongestCold = std::chrono::seconds(60);

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
        noteReborn(endpoint);
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
        kLog.info("gone from the list", {field("endpoint", endpoint.value())});
        return unlist(endpoint);
    }
    // An entry that another process has overwritten names no endpoint to use, until the endpoint writes it again.
    const std::optional<EndpointListing> listing = read(object);
    listing ? take(*listing, object.version) : unlist(endpoint);
}

void EndpointListener::take(const EndpointListing &listing, std::uint64_t revision)
{
    const ListingOutcome news = m_gate.registry().list(listing, m_timers.now());
    if (news == ListingOutcome::Outdated) {
        kLog.info("news of an earlier life ignored",
                  {field("endpoint", listing.id.value()), field("born_at_ms", listing.startedAtMilliseconds)});
        return;
    }
    if (news == ListingOutcome::Restarted) {
        noteReborn(listing.id);
    }
    kLog.info(listing.isLeaving ? "leaving" : "listed",
              {field("endpoint", listing.id.value()), field("pool", listing.pool.value()),
               field("address", listing.address), field("born_at_ms", listing.startedAtMilliseconds),
               field("cold_for", listing.coldFor), field("revision", revision)});
    if (listing.isLeaving) {
        m_onUnlisted(listing.id);
    }
}

// Connections to the earlier life lead nowhere, or to a process that knows nothing of them.
void EndpointListener::noteReborn(const EndpointId &endpoint)
{
    kLog.info("started again", {field("endpoint", endpoint.value())});
    m_onUnlisted(endpoint);
}

void EndpointListener::unlist(const EndpointId &endpoint)
{
    m_gate.registry().unlist(endpoint, m_timers.now());
    m_onUnlisted(endpoint);
}

// An endpoint that says it is cold for an hour would hardly be used for as long.
void EndpointListener::boundColdSpan(EndpointListing &listing)
{
    if (listing.coldFor > kLongestCold) {
        kLog.error("impossible cold time, bounded",
                   {field("endpoint", listing.id.value()), field("cold_for", listing.coldFor)});
        listing.coldFor = kLongestCold;
    }
}

std::optional<EndpointListing> EndpointListener::read(const StoredObject &object)
{
    absl::StatusOr<EndpointListing> listing = m_catalogue.readEndpoint(object);
    if (listing.ok()) {
        m_unreadable.erase(object.key);
        boundColdSpan(*listing);
        return std::move(*listing);
    }
    // Whoever writes such entries may do so with each heartbeat: one line for each is enough.
    if (m_unreadable.size() < kMostTold && m_unreadable.insert(object.key).second) {
        kLog.error("an entry can't be read",
                   {field("error", std::string(listing.status().message())), field("revision", object.version)});
    }
    return std::nullopt;
}

}
