#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// A door at which load is offered.
struct LoadTarget {
    /// "address:port" for callers.
    std::string address;
    /// "address:port" of /readyz; empty when the door is always taken as ready.
    std::string adminAddress;

    bool operator==(const LoadTarget &) const = default;
};

/// An organisation whose callers take part.
struct LoadOrganisation {
    std::string name;
    std::string key;
    /// "organisation/name" of the budget that pays, as it stands in the ledger.
    std::string budget;
    /// How often its callers come, against the others'.
    double weight = 1;

    bool operator==(const LoadOrganisation &) const = default;
};

/// The load to offer. Shares are between 0 and 1, and each is drawn for itself.
struct LoadSettings {
    std::vector<LoadTarget> targets;
    std::vector<LoadOrganisation> organisations;
    /// Whether the targets are engines, asked without the fleet.
    bool isDirect = false;
    /// Tells this load's requests from those of others.
    std::string name = "load";
    std::string model = "standin";
    std::string service;
    /// Open loop: arrivals a second. Zero for a closed loop of `callers`.
    double rate = 0;
    int callers = 8;
    Duration duration = std::chrono::seconds(10);
    /// Ends the load early after so many requests; zero for no bound.
    std::int64_t maximumRequests = 0;
    std::int64_t maximumTokens = 64;
    int promptWords = 40;
    /// Requests of one group begin with the same system message of so many words.
    int prefixGroups = 0;
    int prefixWords = 0;
    double streamedShare = 0.7;
    double serviceShare = 0;
    double orderShare = 0;
    /// Callers that send the same key to another door while the first one is still at work.
    double duplicateShare = 0;
    Duration duplicateDelay = std::chrono::milliseconds(30);
    double unkeyedShare = 0;
    double slowReaderShare = 0;
    Duration slowReadInterval = std::chrono::milliseconds(100);
    /// Tries of a request whose answer was lost; refusals are final unless `isRefusalRetried`.
    int maximumTries = 4;
    Duration retryDelay = std::chrono::milliseconds(100);
    /// Whether a caller comes back after the time that a refusal names, once for each try.
    bool isRefusalRetried = false;
    /// How long a caller waits for the next byte.
    Duration timeout = std::chrono::seconds(20);
    /// Sent as a header with each request; zero for none.
    Duration deadline = Duration::zero();
    std::uint64_t seed = 1;
    std::string logFile;
};

}
