#pragma once

#include "serving/endpointloadreport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RadishSwitch
{

struct LoadCollectorSettings {
    /// Age from which an entry is dropped.
    Duration maximumAge = std::chrono::seconds(3);
    /// A value counts as changed if it differs by more than this share of what was sent, and times by more than
    /// `negligibleTime`. Engines make an event every 24 to 180 ms, so that a few milliseconds decide nothing.
    double negligibleShare = 0.1;
    Duration negligibleTime = std::chrono::milliseconds(5);
    /// An entry without changes is sent again after this time.
    Duration resendInterval = std::chrono::seconds(2);
    /// Endpoints in one message.
    std::size_t maximumEndpoints = 48;
    /// Estimated size of one message. Two messages a second stay under the 4 KB/s that a gateway may use for load
    /// updates, however many endpoints there are.
    std::size_t maximumBytes = 1950;
    /// Share of a message that gateways may take up. Within it all gateways of the zone are sent each time.
    double gatewayShare = 0.5;
    /// Bounds the memory that wrong reports can occupy.
    std::size_t maximumEntries = 2000;
};

/// Keeps the last load report of each endpoint and gateway, and decides which of them each subscriber is sent.
///
/// Addresses fleets in which each gateway sees only its own calls: 28 gateways send as many calls to slow engines as
/// to fast ones. If each home sent its reports to each gateway, 56 homes and 31 gateways would need 7,000 messages a
/// second and as many connections as there are pairs.
///
/// Subscribers are gateways. A gateway subscribes with its zone and is sent the gateways of that zone.
class LoadCollector
{
public:
    /// What one message tells a subscriber. The ages of the reports are those at the time of sending.
    struct News {
        std::vector<EndpointLoadReport> endpoints;
        std::vector<GatewayLoadReport> gateways;

        bool operator==(const News &) const = default;
    };

    using SubscriberId = std::uint64_t;

    explicit LoadCollector(LoadCollectorSettings settings = {});

    /// Takes in a report. A report that is older than the one known is ignored. Fails with MalformedMessage, and
    /// changes nothing, if the report can't be true, and with Overloaded if there is no room for it.
    absl::Status addEndpoint(const EndpointLoadReport &report, Instant now);
    absl::Status addGateway(const GatewayLoadReport &report, Instant now);

    SubscriberId subscribe(std::string zone);
    void unsubscribe(SubscriberId id);

    /// What to send to a subscriber now. It counts as sent.
    News takeNews(SubscriberId id, Instant now);

    /// Forgets what is too old.
    void dropStale(Instant now);

    std::size_t endpointCount() const
    {
        return m_endpoints.size();
    }

    std::size_t gatewayCount() const
    {
        return m_gateways.size();
    }

    std::size_t subscriberCount() const
    {
        return m_subscribers.size();
    }

private:
    template<typename Report>
    struct Entry {
        Report report;
        Instant measuredAt{};
    };

    struct Sent {
        EndpointLoadReport report;
        Instant at{};
    };

    struct Subscriber {
        std::string zone;
        absl::flat_hash_map<std::string, Sent> sent;
        /// The gateway with which the next message begins, if not all of the zone had room in the last one.
        std::string nextGateway = {};
    };

    /// An entry that a subscriber is to be sent, with the time since it was last sent.
    struct Due {
        Duration unsent{};
        const Entry<EndpointLoadReport> *entry = nullptr;
    };

    bool hasChanged(const EndpointLoadReport &report, const EndpointLoadReport &sent) const;
    bool hasTimeChanged(Duration now, Duration sent) const;
    bool hasNumberChanged(double now, double sent) const;
    std::vector<Due> dueEndpoints(const Subscriber &subscriber, Instant now) const;
    /// Adds the gateways of the zone, in turn if there are too many for one message, and returns the estimated size of
    /// the entries.
    std::size_t addGatewaysOfZone(News &news, Subscriber &subscriber, Instant now) const;

    LoadCollectorSettings m_settings;
    absl::flat_hash_map<std::string, Entry<EndpointLoadReport>> m_endpoints;
    std::map<std::string, Entry<GatewayLoadReport>> m_gateways;
    absl::flat_hash_map<SubscriberId, Subscriber> m_subscribers;
    SubscriberId m_lastSubscriber = 0;
};

}
