#pragma once

#include "limits/endpointbackoff.h"
#include "limits/endpointoverload.h"
#include "limits/refusalpause.h"
#include "limits/slidingwindowcounter.h"
#include "routing/endpointejection.h"
#include "routing/endpointstate.h"
#include "serving/endpointlisting.h"
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

/// Whether an endpoint of the roster may be sent new calls.
enum class RosterStanding {
    Usable,
    /// Its entry has vanished lately, without a word that it leaves. Sent calls only when nothing else is usable.
    Doubtful,
    Leaving,
    /// Operators keep new calls from its zone.
    Cordoned,
    /// Another endpoint has its address by now: it has ended, and its entry has yet to lapse.
    Replaced,
    Gone,
};

/// What an entry of the platform's list said of an endpoint.
enum class ListedNews {
    /// An endpoint that was not known, or news of the life that is.
    Current,
    /// The endpoint has crashed and started again: the life known until now is gone.
    Reborn,
    /// A life that is over. The entry was ignored.
    Outdated,
};

struct EndpointRosterSettings {
    /// An endpoint whose entry vanished unannounced stays usable for so long. Entries lapse while the platform's store
    /// is away, and are back about two seconds after it; one that really leaves goes on serving for at least as long.
    Duration vanishedGrace = std::chrono::milliseconds(1800);
    /// The same when at least `lapseShare` of a pool vanishes within `lapseWindow`, no later than `lapseAfterOutage`
    /// after the store was back: that is a lapse of the list. While the store is sound the same is a planned removal
    /// of half a pool, whose endpoints serve no longer than they must.
    Duration lapseGrace = std::chrono::milliseconds(3500);
    Duration lapseAfterOutage = std::chrono::seconds(3);
    double lapseShare = 0.5;
    Duration lapseWindow = std::chrono::milliseconds(500);
    /// Ids whose latest life is remembered after they are forgotten, so that late news does not bring it back. Some
    /// 100 bytes each; a day with a release of 400 endpoints each hour has fewer.
    std::size_t rememberedLives = 10'000;
    /// Regions by their availability zones.
    std::map<std::string, std::string> zoneRegions;
};

/// What a cold endpoint bears is told for a second. A call reaches it up to the time later that a new connection takes.
inline constexpr Duration kColdCallSpan = std::chrono::milliseconds(1150);

/// Calls to an endpoint that names a limit are counted over this, and the time that a new connection takes: limits
/// below one call a second are common.
inline constexpr Duration kNamedLimitSpan = std::chrono::seconds(4);
inline constexpr Duration kNamedLimitMargin = std::chrono::milliseconds(150);
/// A limit of which nothing was heard for so long counts no longer: whoever gets no answers would not hear of its end.
inline constexpr Duration kNamedLimitLasts = std::chrono::seconds(30);

/// An endpoint that is or lately was in the platform's list, and what this process has under way there.
struct RosterEndpoint {
    EndpointListing listing;
    /// Empty where the region of its zone is not known.
    std::string region;
    /// By which it takes part in rendezvous hashing.
    std::uint64_t hash = 0;
    /// The endpoint lives on in another slot.
    bool isOfEarlierLife = false;
    /// A call meant for it was answered by another endpoint, which has its address.
    bool isMissed = false;
    /// Another endpoint has its address, by the newer entry or because this one was missed there.
    bool isReplaced = false;
    /// Set once its entry has vanished: until when it is doubtful rather than gone.
    std::optional<Instant> doubtfulUntil;
    Instant vanishedAt{};
    /// Its zone is closed to new calls.
    bool isCordoned = false;
    /// Until when it is taken for cold; the earliest moment where it is warm.
    Instant coldUntil = Instant::min();
    /// Calls that this process has sent here while it was cold.
    SlidingWindowCounter coldCalls{kColdCallSpan};
    /// Calls a second from all callers together that it says it takes; nothing while it names no limit. As of when.
    std::optional<double> namedLimit;
    Instant namedLimitAt = Instant::min();
    /// Calls that this process has sent here while it named a limit.
    SlidingWindowCounter limitedCalls{kNamedLimitSpan + kNamedLimitMargin};
    /// While it is on, the endpoint has asked to be sent nothing by this process.
    EndpointBackoff backoff;
    /// After it has turned calls away without a time.
    RefusalPause pause;
    /// Calls of this process that are under way here.
    int inFlight = 0;
    /// Calls that this process may have under way here. Falls when the endpoint refuses work, and grows back.
    double limit = 1;
    /// Up to this limit each call that the endpoint takes after a backoff makes room for one more, and beyond it for
    /// less.
    double quickLimit = 0;
    /// Prompt tokens sent here that the endpoint has yet to read before it answers.
    std::int64_t unreadTokens = 0;
    /// By how much first answers lately came later than expected, in seconds, and when that was noted.
    double delaySeconds = 0;
    Instant delayNotedAt{};
    /// By the answers of calls that tell it.
    EndpointOverload pressure;
    EndpointEjection ejection;
};

/// The endpoints by the platform's list, each with the work that this process has there.
class EndpointRoster
{
public:
    explicit EndpointRoster(EndpointRosterSettings settings = {});

    /// Adds an endpoint or takes in what has changed about it. An endpoint that was born anew has a slot of its own:
    /// the load, the hints, the ejection and the leaving of its earlier life say nothing of it.
    ListedNews list(const EndpointListing &listing, Instant now);

    /// The endpoint's entry was removed from the list.
    void unlist(const EndpointId &endpoint, Instant now);

    /// The store answers again, after an outage in which entries may have lapsed.
    void noteStoreBack(Instant now)
    {
        m_storeBackAt = now;
    }

    /// Another endpoint answered at this one's address.
    void noteMissed(EndpointSlot slot);

    /// The endpoint itself has said that it leaves. Final for this life, whatever the list says. Gives whether that is
    /// news.
    bool noteLeaving(EndpointSlot slot);

    /// The whole list, as read anew: what it does not hold was removed. Gives the endpoints that have started again.
    std::vector<EndpointId> replaceAll(const std::vector<EndpointListing> &listings, Instant now);

    RosterStanding standing(EndpointSlot slot, Instant now) const;

    /// Operators' orders, as they stand: these zones get no new calls, and all others may. Gives the endpoints whose
    /// zones are open again.
    std::vector<EndpointSlot> setClosedZones(const std::vector<std::string> &zones);

    /// One more order, or one that was taken back. As above.
    void closeZone(const std::string &zone);
    std::vector<EndpointSlot> openZone(const std::string &zone);

    const ZoneCordons &cordons() const
    {
        return m_cordons;
    }

    /// An endpoint that was not taken for cold, or not for as long, is until then.
    void extendCold(EndpointSlot slot, Instant until);

    bool isCold(EndpointSlot slot, Instant now) const
    {
        return now < at(slot).coldUntil;
    }

    std::size_t countCold(Instant now) const;

    /// Endpoints that leave and are not gone yet.
    std::size_t countLeaving(Instant now) const;

    /// The endpoint takes so many calls a second from now on, or names no limit any more.
    void setNamedLimit(EndpointSlot slot, std::optional<double> callsPerSecond, Instant now);

    bool isLimited(EndpointSlot slot, Instant now) const
    {
        return at(slot).namedLimit && now - at(slot).namedLimitAt < kNamedLimitLasts;
    }

    std::size_t countLimited(Instant now) const;

    std::size_t countBackedOff(Instant now) const;

    /// Slots of all endpoints of a pool that are not forgotten, in order.
    const std::vector<EndpointSlot> &pool(const PoolId &pool) const;

    RosterEndpoint &at(EndpointSlot slot)
    {
        return *m_endpoints[slot];
    }

    const RosterEndpoint &at(EndpointSlot slot) const
    {
        return *m_endpoints[slot];
    }

    std::optional<EndpointSlot> slotOf(const EndpointId &endpoint) const;

    /// Forgets endpoints that are gone and have nothing under way, and gives the slots that they had.
    std::vector<EndpointSlot> forgetGone(Instant now);

    /// Whether any list was ever taken in.
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
    std::vector<EndpointSlot> reviewCordons();
    void endLife(EndpointSlot slot);
    void remember(const EndpointListing &listing);
    void takeAddress(EndpointSlot slot);
    void leaveAddress(EndpointSlot slot);
    void reviewAddress(const std::string &address);
    bool isLapse(const PoolId &pool, Instant now) const;
    void extendDoubt(const PoolId &pool, Instant now);

    const EndpointRosterSettings m_settings;
    std::vector<std::unique_ptr<RosterEndpoint>> m_endpoints;
    std::vector<EndpointSlot> m_freeSlots;
    absl::flat_hash_map<EndpointId, EndpointSlot> m_slots;
    absl::flat_hash_map<PoolId, std::vector<EndpointSlot>> m_pools;
    /// Endpoints by their addresses, those of earlier lives apart.
    absl::flat_hash_map<std::string, std::vector<EndpointSlot>> m_addresses;
    /// The latest life of each endpoint that was forgotten.
    absl::flat_hash_map<EndpointId, EndpointListing> m_endedLives;
    std::deque<EndpointId> m_endedInOrder;
    ZoneCordons m_cordons;
    std::optional<Instant> m_storeBackAt;
    bool m_isKnown = false;
};

}
