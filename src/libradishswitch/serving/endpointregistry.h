#pragma once

#include "limits/endpointbackoff.h"
#include "limits/endpointoverload.h"
#include "limits/refusalpause.h"
#include "limits/slidingwindowcounter.h"
#include "routing/endpointejection.h"
#include "routing/endpointstate.h"
#include "serving/endpointincarnation.h"
#include "serving/endpointlisting.h"
#include "serving/poolversions.h"
#include "serving/zonecordons.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace RadishSwitch
{

/// Whether an endpoint may be sent new calls.
enum class EndpointAvailability {
    Usable,
    /// Its entry was removed from the list recently, and the endpoint had not reported that it was leaving. It is sent
    /// calls only if no other endpoint is usable.
    Suspect,
    Leaving,
    /// Operators have closed its zone to new calls.
    Cordoned,
    /// Another endpoint has taken over its address: the endpoint has ended, but its entry has not expired yet.
    Replaced,
    Gone,
};

/// How a listing relates to what is known about the endpoint.
enum class ListingOutcome {
    /// The endpoint is new, or the listing updates its known incarnation.
    Current,
    /// The endpoint has restarted. Its earlier incarnation has ended.
    Restarted,
    /// The listing is of an incarnation that has ended, and was ignored.
    Outdated,
};

struct EndpointRegistrySettings {
    /// Time for which an endpoint stays a suspect after its entry was removed without announcement. Entries also expire
    /// while the platform's store is down and reappear about two seconds after it is back. An endpoint that really
    /// leaves keeps serving for at least this time.
    Duration unlistedGrace = std::chrono::milliseconds(1800);
    /// The same time if the whole list has expired: at least `massExpiryShare` of a pool's entries were removed within
    /// `massExpiryWindow`, and the store came back less than `massExpiryAfterOutage` before. Without an outage of the
    /// store, removing that many entries is a planned removal, and its endpoints serve no longer than they must.
    Duration massExpiryGrace = std::chrono::milliseconds(3500);
    Duration massExpiryAfterOutage = std::chrono::seconds(3);
    double massExpiryShare = 0.5;
    Duration massExpiryWindow = std::chrono::milliseconds(500);
    /// Number of removed endpoints whose last incarnation is remembered, so that a delayed listing does not bring it
    /// back. Each takes about 100 bytes. A day with hourly releases of 400 endpoints stays below this number.
    std::size_t rememberedIncarnations = 10'000;
    /// Region of each availability zone.
    std::map<std::string, std::string> zoneRegions;
};

/// Time window for counting the calls to a cold endpoint, whose limit is given in calls per second. The 150 ms beyond
/// one second cover the time that a new connection takes, by which a call may arrive later than it was sent.
inline constexpr Duration kColdCallWindow = std::chrono::milliseconds(1150);

/// Time window for counting the calls to an endpoint that has announced a limit; limits below one call per second are
/// common. The margin is added to the window, since a call may arrive later than it was sent by the time that a new
/// connection takes.
inline constexpr Duration kAnnouncedLimitWindow = std::chrono::seconds(4);
inline constexpr Duration kAnnouncedLimitMargin = std::chrono::milliseconds(150);
/// An announced limit expires if it was not confirmed for this long. A gateway that gets no answers from the endpoint
/// would never learn that the limit has ended.
inline constexpr Duration kAnnouncedLimitTtl = std::chrono::seconds(30);

/// An endpoint that is, or recently was, in the platform's list, together with this process's calls to it.
struct RegisteredEndpoint {
    EndpointListing listing;
    /// Empty if the region of its zone is not known.
    std::string region;
    /// Hash of its id for rendezvous hashing.
    std::uint64_t hash = 0;
    /// The endpoint has restarted, and its current incarnation has another slot.
    bool isEarlierIncarnation = false;
    /// The incarnation before was seen to end, or this one to have started, and this one's entry has not appeared yet.
    /// Its software version is not known. Its listing has the place of the one before.
    bool isAwaitingEntry = false;
    /// False while the start time in the listing is only a lower bound.
    bool isStartKnown = true;
    /// The lowest start time that the incarnation was listed with here.
    std::int64_t earliestStartMilliseconds = 0;
    /// While `isStartKnown` is false: the version of the incarnation before, and when it was seen to end.
    SoftwareVersion endedVersion;
    Instant endedAt{};
    /// A call for this endpoint was answered by another endpoint at its address.
    bool hasLostAddress = false;
    /// Another endpoint has its address, either because that endpoint's entry is newer or because `hasLostAddress` is
    /// set here.
    bool isReplaced = false;
    /// Set when its entry was removed: until then the endpoint is a suspect, and afterwards it is gone.
    std::optional<Instant> suspectUntil;
    Instant unlistedAt{};
    /// Operators have closed its zone to new calls.
    bool isCordoned = false;
    /// Until when it is considered cold; Instant::min() if it is warm.
    Instant coldUntil = Instant::min();
    /// Calls that this process has sent to the endpoint while it was cold.
    SlidingWindowCounter coldCalls{kColdCallWindow};
    /// Limit that the endpoint has announced, in calls per second from all gateways together; nullopt if it announces
    /// none. `announcedLimitAt` is when this was last reported.
    std::optional<double> announcedLimit;
    Instant announcedLimitAt = Instant::min();
    /// Calls that this process has sent to the endpoint while it announced a limit.
    SlidingWindowCounter limitedCalls{kAnnouncedLimitWindow + kAnnouncedLimitMargin};
    /// While the backoff is on, the endpoint has asked this process to send nothing.
    EndpointBackoff backoff;
    /// Pause after the endpoint has refused a call without giving a backoff time.
    RefusalPause pause;
    /// This process's calls in flight at the endpoint.
    int inFlight = 0;
    /// Maximum of `inFlight`. It is lowered when the endpoint refuses calls, and grows again as it accepts them.
    double inFlightLimit = 1;
    /// Below this limit each accepted call after a backoff raises `inFlightLimit` by one (slow start); above it by
    /// less.
    double fastGrowthLimit = 0;
    /// Prompt tokens of calls sent to the endpoint that it has not prefilled yet.
    std::int64_t pendingPrefillTokens = 0;
    /// Moving average of how much later than expected first answers came, in seconds, and when it was last updated.
    double delaySeconds = 0;
    Instant delayNotedAt{};
    /// Overload of the endpoint, measured by the answers whose latency indicates its load.
    EndpointOverload overload;
    EndpointEjection ejection;
};

/// The endpoints in the platform's list, each with this process's calls to it.
class EndpointRegistry
{
public:
    explicit EndpointRegistry(EndpointRegistrySettings settings = {});

    /// Adds an endpoint or updates it. An endpoint that has restarted gets a new slot, since the load, cache hints,
    /// ejection and leaving state of its earlier incarnation do not apply to it.
    ListingOutcome list(const EndpointListing &listing, Instant now);

    /// The endpoint's entry was removed from the list.
    void unlist(const EndpointId &endpoint, Instant now);

    /// The store is back after an outage, during which entries may have expired.
    void noteStoreBack(Instant now)
    {
        m_storeBackAt = now;
    }

    /// The process of this incarnation has ended, though its entry may remain for seconds. The endpoint gets a new slot
    /// for its next incarnation, which is returned; nullopt if none is to be expected, or the platform reports no start
    /// times, so that the next one could not be told from this one.
    std::optional<EndpointSlot> noteEnded(EndpointSlot slot, Instant now);

    /// A process that started at this time serves at the endpoint's address; measured at `measuredAt`. Returns the new
    /// slot of the endpoint if that is a later incarnation than the known one.
    std::optional<EndpointSlot> noteStart(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant measuredAt,
                                          Instant now);

    /// The slot of the endpoint if this is its current incarnation.
    std::optional<EndpointSlot> currentSlotOf(const EndpointIncarnation &incarnation) const;

    /// Number of endpoints whose current incarnation has no entry yet.
    std::size_t countAwaitingEntry() const;

    /// Another endpoint answered at this endpoint's address.
    void noteWrongEndpoint(EndpointSlot slot);

    /// The endpoint has reported that it is leaving. This is final for its incarnation, whatever the list says. Returns
    /// true if it was not known before.
    bool noteLeaving(EndpointSlot slot);

    /// Replaces the whole list: endpoints that are not in it count as removed. Returns the endpoints that have
    /// restarted.
    std::vector<EndpointId> replaceAll(const std::vector<EndpointListing> &listings, Instant now);

    EndpointAvailability availability(EndpointSlot slot, Instant now) const;

    /// Replaces the list of zones that operators have closed to new calls; all other zones are open. Returns the
    /// endpoints whose zones were reopened by this.
    std::vector<EndpointSlot> setClosedZones(const std::vector<std::string> &zones);

    /// Closes or reopens one zone; `openZone` returns the endpoints whose zone was reopened by this.
    void closeZone(const std::string &zone);
    std::vector<EndpointSlot> openZone(const std::string &zone);

    /// The software versions that serve in each pool.
    PoolVersions &versions()
    {
        return m_versions;
    }

    const PoolVersions &versions() const
    {
        return m_versions;
    }

    const ZoneCordons &cordons() const
    {
        return m_cordons;
    }

    /// Considers the endpoint cold at least until then.
    void extendCold(EndpointSlot slot, Instant until);

    bool isCold(EndpointSlot slot, Instant now) const
    {
        return now < at(slot).coldUntil;
    }

    std::size_t countCold(Instant now) const;

    /// Number of endpoints that are leaving but not gone yet.
    std::size_t countLeaving(Instant now) const;

    /// Sets the limit that the endpoint has announced; nullopt if it has announced that there is none any more.
    void setAnnouncedLimit(EndpointSlot slot, std::optional<double> callsPerSecond, Instant now);

    bool isLimited(EndpointSlot slot, Instant now) const
    {
        return at(slot).announcedLimit && now - at(slot).announcedLimitAt < kAnnouncedLimitTtl;
    }

    std::size_t countLimited(Instant now) const;

    std::size_t countBackedOff(Instant now) const;

    /// Slots of all endpoints of a pool that were not forgotten, in the order in which they were added.
    const std::vector<EndpointSlot> &pool(const PoolId &pool) const;

    /// Changes whenever an endpoint is added to a pool or forgotten.
    std::uint64_t poolsVersion() const
    {
        return m_poolsVersion;
    }

    RegisteredEndpoint &at(EndpointSlot slot)
    {
        return *m_endpoints[slot];
    }

    const RegisteredEndpoint &at(EndpointSlot slot) const
    {
        return *m_endpoints[slot];
    }

    std::optional<EndpointSlot> slotOf(const EndpointId &endpoint) const;

    /// Slots of the endpoints at an address ("ip:port"), without those of earlier incarnations. There is more than one
    /// while an ended endpoint is still listed at the address that another one has taken over.
    const std::vector<EndpointSlot> &slotsAt(const std::string &address) const;

    /// Removes endpoints that are gone and have no calls in flight. Returns the slots that they had.
    std::vector<EndpointSlot> forgetGone(Instant now);

    /// Whether any listing was ever received, or a list without any.
    bool isKnown() const
    {
        return m_isKnown;
    }

    std::size_t size() const
    {
        return m_slots.size();
    }

private:
    std::string regionOf(const std::string &zone) const;
    EndpointSlot add(const EndpointListing &listing, Instant now);
    EndpointSlot insert(const EndpointListing &listing, Instant now);
    EndpointSlot awaitNextIncarnation(EndpointSlot slot, std::int64_t startedAtMilliseconds, Instant now);
    static bool isAwaited(const RegisteredEndpoint &endpoint, const EndpointListing &listing);
    void takeAwaitedEntry(RegisteredEndpoint &endpoint, const EndpointListing &listing, Instant now);
    void revive(RegisteredEndpoint &endpoint, Instant now);
    std::vector<EndpointSlot> updateCordons();
    void endIncarnation(EndpointSlot slot);
    void remember(const EndpointListing &listing);
    void indexAddress(EndpointSlot slot);
    void unindexAddress(EndpointSlot slot);
    void updateReplaced(const std::string &address);
    void noteVersions(Instant now);
    bool isMassExpiry(const PoolId &pool, Instant now) const;
    void extendSuspicion(const PoolId &pool, Instant now);

    const EndpointRegistrySettings m_settings;
    std::vector<std::unique_ptr<RegisteredEndpoint>> m_endpoints;
    std::vector<EndpointSlot> m_freeSlots;
    absl::flat_hash_map<EndpointId, EndpointSlot> m_slots;
    absl::flat_hash_map<PoolId, std::vector<EndpointSlot>> m_pools;
    std::uint64_t m_poolsVersion = 0;
    /// Slots of the endpoints at each address, without those of earlier incarnations.
    absl::flat_hash_map<std::string, std::vector<EndpointSlot>> m_addresses;
    /// The last incarnation of each endpoint that was removed.
    absl::flat_hash_map<EndpointId, EndpointListing> m_endedIncarnations;
    std::deque<EndpointId> m_endedInOrder;
    ZoneCordons m_cordons;
    PoolVersions m_versions;
    std::optional<Instant> m_versionsNotedAt;
    std::optional<Instant> m_storeBackAt;
    bool m_isKnown = false;
};

}
