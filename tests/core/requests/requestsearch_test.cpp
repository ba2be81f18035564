#include "requestworld.h"

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

/// States that one case explores here; the environment can ask for more.
std::size_t stateLimit()
{
    constexpr std::size_t kInTests = 4000;
    const char *text = std::getenv("RADISHSWITCH_SEARCH_STATES");
    return text ? std::strtoul(text, nullptr, 10) : kInTests;
}

AdmitQuestion question(const std::string &name, bool isNonIdempotent)
{
    AdmitQuestion question;
    question.request = RequestId(name);
    question.budget = {OrganisationId("magnolia"), "saturday"};
    question.worstCaseTokens = 100;
    question.fingerprint = "body of " + name;
    question.isKeyed = true;
    question.isNonIdempotent = isNonIdempotent;
    question.deadline = Instant(std::chrono::seconds(60));
    return question;
}

}

/// Every order of messages, losses, late copies and deaths of a small case, shortest first, over the real homes and run
/// tables. A state is reached again by repeating its steps, so nothing but the steps is kept.
class RequestSearchTest : public testing::Test
{
protected:
    void search(const SearchCase &searched)
    {
        std::unordered_set<std::size_t> seen;
        std::deque<Steps> open{{}};
        std::size_t explored = 0;
        std::size_t depth = 0;
        while (!open.empty() && explored < stateLimit()) {
            const Steps steps = std::move(open.front());
            open.pop_front();
            RequestWorld world(searched.calls, searched.limits);
            for (const std::string &step : steps) {
                world.take(step);
            }
            if (!seen.insert(std::hash<std::string>()(world.digest())).second) {
                continue;
            }
            ++explored;
            depth = steps.size();
            for (const std::string &step : world.steps()) {
                open.push_back(steps);
                open.back().push_back(step);
            }
            // What was run or billed stays so: at rest, every promise broken on the way still shows.
            const auto broken = world.brokenPromiseAtRest();
            ASSERT_FALSE(broken) << *broken << ":\n" << world.story();
        }
        std::cout << searched.name << ": " << explored << " states to depth " << depth
                  << (open.empty() ? ", all there are" : "") << "\n";
    }

    /// Far beyond the depth of the search: long ways drawn at random, the same on every run.
    void walk(const SearchCase &walked)
    {
        constexpr std::size_t kStatesPerWalk = 10;
        constexpr std::size_t kLongest = 80;
        const std::size_t walks = stateLimit() / kStatesPerWalk;
        SeededRandom random;
        std::size_t taken = 0;
        for (std::size_t n = 0; n < walks; ++n) {
            RequestWorld world(walked.calls, walked.limits);
            Steps steps;
            while (steps.size() < kLongest) {
                const Steps possible = world.steps();
                if (possible.empty()) {
                    break;
                }
                steps.push_back(possible[random.below(possible.size())]);
                world.take(steps.back());
            }
            taken += steps.size();
            const auto broken = world.brokenPromiseAtRest();
            ASSERT_FALSE(broken) << *broken << ":\n" << world.story();
        }
        std::cout << walked.name << ": " << walks << " random ways, " << taken << " steps\n";
    }

    /// Two requests, each tried at both entries, one of them an order.
    static std::vector<PlannedCall> twoRequests()
    {
        return {{question("r", false), "first", "agent-1"},
                {question("o", true), "second", "agent-2"},
                {question("r", false), "second", "agent-2"},
                {question("o", true), "first", "agent-1"}};
    }
};

TEST_F(RequestSearchTest, idempotentRequest_retriedAtOtherEntry_keepsItsPromises)
{
    search({"retry, deaths",
            {{question("r", false), "first", "agent-1"}, {question("r", false), "second", "agent-2"}},
            {.entryDeaths = 1, .wrongDeaths = 1}});
    search({"retry, losses",
            {{question("r", false), "first", "agent-1"}, {question("r", false), "second", "agent-2"}},
            {.losses = 1, .copies = 1, .entryDeaths = 1}});
    search({"retry, agent dies",
            {{question("r", false), "first", "agent-1"}, {question("r", false), "second", "agent-2"}},
            {.losses = 1, .entryDeaths = 1, .agentDeaths = 1}});
}

TEST_F(RequestSearchTest, nonIdempotentRequest_retriedAtOtherEntry_runsAtMostOnce)
{
    search({"order, deaths",
            {{question("o", true), "first", "agent-1"}, {question("o", true), "second", "agent-2"}},
            {.copies = 1, .entryDeaths = 1, .wrongDeaths = 1}});
    search({"order, losses",
            {{question("o", true), "first", "agent-1"}, {question("o", true), "second", "agent-2"}},
            {.losses = 2, .wrongDeaths = 1, .lostStoreAnswers = 1, .timers = 1}});
}

TEST_F(RequestSearchTest, twoRequests_retriedAmongDeathsAndLosses_keepTheirPromises)
{
    search(
        {"two requests", twoRequests(), {.losses = 1, .copies = 1, .entryDeaths = 1, .wrongDeaths = 1, .timers = 1}});
}

TEST_F(RequestSearchTest, twoRequests_alongRandomWays_keepTheirPromises)
{
    walk({"deaths", twoRequests(), {.losses = 1, .copies = 1, .entryDeaths = 1, .wrongDeaths = 1, .timers = 2}});
    walk({"losses", twoRequests(), {.losses = 4, .copies = 2, .wrongDeaths = 2, .lostStoreAnswers = 1, .timers = 4}});
    walk({"agent dies",
          twoRequests(),
          {.losses = 2, .copies = 1, .entryDeaths = 1, .agentDeaths = 1, .wrongDeaths = 1, .timers = 2}});
}
