#include "requestsimulation.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <unordered_set>

using namespace RadishSwitch;

namespace
{

using Steps = std::vector<std::string>;

struct SearchCase {
    std::string name;
    std::vector<PlannedCall> calls;
    FaultLimits limits;
};

/// The number of states that each case explores. The environment variable RADISHSWITCH_SEARCH_STATES overrides the
/// default.
std::size_t stateLimit()
{
    constexpr std::size_t kDefaultLimit = 4000;
    const char *text = std::getenv("RADISHSWITCH_SEARCH_STATES");
    return text ? std::strtoul(text, nullptr, 10) : kDefaultLimit;
}

AdmissionQuery query(const std::string &name, bool isNonIdempotent)
{
    AdmissionQuery query;
    query.request = RequestId(name);
    query.budget = {OrganisationId("magnolia"), "saturday"};
    query.worstCaseTokens = 100;
    query.fingerprint = "body of " + name;
    query.isKeyed = true;
    query.isNonIdempotent = isNonIdempotent;
    query.deadline = Instant(std::chrono::seconds(60));
    return query;
}

}

/// Explores sequences of messages, losses, duplicated messages and deaths of a small case, shortest first, with the
/// real homes and run tables. A state is reached again by repeating its steps, so only the steps are stored.
class RequestSearchTest : public testing::Test
{
protected:
    void search(const SearchCase &searchCase)
    {
        std::unordered_set<std::size_t> seen;
        std::deque<Steps> queue{{}};
        std::size_t explored = 0;
        std::size_t depth = 0;
        while (!queue.empty() && explored < stateLimit()) {
            const Steps steps = std::move(queue.front());
            queue.pop_front();
            RequestSimulation simulation(searchCase.calls, searchCase.limits);
            for (const std::string &step : steps) {
                simulation.apply(step);
            }
            if (!seen.insert(std::hash<std::string>()(simulation.digest())).second) {
                continue;
            }
            ++explored;
            depth = steps.size();
            for (const std::string &step : simulation.steps()) {
                queue.push_back(steps);
                queue.back().push_back(step);
            }
            // Runs and bills are never undone, so an invariant that was violated on the way is still violated at rest.
            const auto violation = simulation.violationAtRest();
            ASSERT_FALSE(violation) << *violation << ":\n" << simulation.trace();
        }
        std::cout << searchCase.name << ": " << explored << " states to depth " << depth
                  << (queue.empty() ? ", exhausted" : "") << "\n";
    }

    /// Takes long sequences of random steps, far beyond the depth of the search. The seed is fixed, so each run takes
    /// the same sequences.
    void walk(const SearchCase &searchCase)
    {
        constexpr std::size_t kStatesPerWalk = 10;
        constexpr std::size_t kMaximumSteps = 80;
        const std::size_t walks = stateLimit() / kStatesPerWalk;
        SeededRandom random;
        std::size_t stepsTaken = 0;
        for (std::size_t n = 0; n < walks; ++n) {
            RequestSimulation simulation(searchCase.calls, searchCase.limits);
            Steps steps;
            while (steps.size() < kMaximumSteps) {
                const Steps possible = simulation.steps();
                if (possible.empty()) {
                    break;
                }
                steps.push_back(possible[random.below(possible.size())]);
                simulation.apply(steps.back());
            }
            stepsTaken += steps.size();
            const auto violation = simulation.violationAtRest();
            ASSERT_FALSE(violation) << *violation << ":\n" << simulation.trace();
        }
        std::cout << searchCase.name << ": " << walks << " random walks, " << stepsTaken << " steps\n";
    }

    /// Two requests, each called at both entries. One of them is non-idempotent.
    static std::vector<PlannedCall> twoRequests()
    {
        return {{query("r", false), "first", "agent-1"},
                {query("o", true), "second", "agent-2"},
                {query("r", false), "second", "agent-2"},
                {query("o", true), "first", "agent-1"}};
    }
};

TEST_F(RequestSearchTest, idempotentRequest_retriedAtOtherEntry_keepsInvariants)
{
    search({"retry, deaths",
            {{query("r", false), "first", "agent-1"}, {query("r", false), "second", "agent-2"}},
            {.entryDeaths = 1, .falseDeaths = 1}});
    search({"retry, losses",
            {{query("r", false), "first", "agent-1"}, {query("r", false), "second", "agent-2"}},
            {.losses = 1, .copies = 1, .entryDeaths = 1}});
    search({"retry, agent dies",
            {{query("r", false), "first", "agent-1"}, {query("r", false), "second", "agent-2"}},
            {.losses = 1, .entryDeaths = 1, .agentDeaths = 1}});
}

TEST_F(RequestSearchTest, nonIdempotentRequest_retriedAtOtherEntry_runsAtMostOnce)
{
    search({"non-idempotent, deaths",
            {{query("o", true), "first", "agent-1"}, {query("o", true), "second", "agent-2"}},
            {.copies = 1, .entryDeaths = 1, .falseDeaths = 1}});
    search({"non-idempotent, losses",
            {{query("o", true), "first", "agent-1"}, {query("o", true), "second", "agent-2"}},
            {.losses = 2, .falseDeaths = 1, .lostStoreAnswers = 1, .timers = 1}});
}

TEST_F(RequestSearchTest, twoRequests_retriedAmongDeathsAndLosses_keepInvariants)
{
    search(
        {"two requests", twoRequests(), {.losses = 1, .copies = 1, .entryDeaths = 1, .falseDeaths = 1, .timers = 1}});
}

TEST_F(RequestSearchTest, twoRequests_onRandomWalks_keepInvariants)
{
    walk({"deaths", twoRequests(), {.losses = 1, .copies = 1, .entryDeaths = 1, .falseDeaths = 1, .timers = 2}});
    walk({"losses", twoRequests(), {.losses = 4, .copies = 2, .falseDeaths = 2, .lostStoreAnswers = 1, .timers = 4}});
    walk({"agent dies",
          twoRequests(),
          {.losses = 2, .copies = 1, .entryDeaths = 1, .agentDeaths = 1, .falseDeaths = 1, .timers = 2}});
}
