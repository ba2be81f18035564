#pragma once

#include "identifier.h"
#include "timerservice.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace RadishSwitch
{

struct BudgetHomesSettings {
    /// A peer that could not be reached is not asked for so long, twice as long after each further failure, up to the
    /// longest. The first is short: a peer that is only busy should not lose its budgets to others.
    Duration firstPause = std::chrono::milliseconds(400);
    Duration longestPause = std::chrono::seconds(3);
    /// Peers asked for one reservation, before the gateway's own portion is drawn on.
    std::size_t mostPeers = 2;
};

/// Which gateways hold the portions of which budget.
///
/// With a portion at each gateway a small budget would lie in pieces too small for one request, and all gateways would
/// write its record at once. So all of them go to one, the home that rendezvous hashing gives without a word between them;
/// when it can't be reached, to the next, and at last each to itself. Any number of homes at a time is safe, since each
/// holds a portion of its own.
class BudgetHomes
{
public:
    BudgetHomes(std::string self, BudgetHomesSettings settings = {});

    /// The gateways of the fleet, by their names; this one may be among them.
    void setPeers(const std::vector<std::string> &peers);

    /// Whom to ask for a budget, in order. Ends with this gateway's own name.
    std::vector<std::string> candidates(const BudgetId &budget, Instant now) const;

    void noteUnreachable(const std::string &peer, Instant now);
    void noteReached(const std::string &peer);

    const std::string &self() const
    {
        return m_self;
    }

private:
    struct Standing {
        std::uint64_t hash = 0;
        int failures = 0;
        Instant pausedUntil = Instant::min();
    };

    const std::string m_self;
    const BudgetHomesSettings m_settings;
    absl::flat_hash_map<std::string, Standing> m_standings;
};

}
