#include "searchworld.h"

#include <absl/container/flat_hash_set.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace RadishSwitch
{

namespace
{

constexpr const char *kDepthVariable = "RADISHSWITCH_SEARCH_DEPTH";
constexpr int kDepthInTests = 6;
constexpr int kFaults = 2;

/// The choices that lead from the start to a state: one place in the list of enabled actions for each step.
using Path = std::vector<std::uint8_t>;

struct SearchResult {
    std::size_t states = 0;
    std::size_t transitions = 0;
    int depth = 0;
    /// The first path to a broken promise or a stuck end, and what is wrong there.
    std::string failure;
};

int searchDepth()
{
    const char *depth = std::getenv(kDepthVariable);
    return depth ? std::atoi(depth) : kDepthInTests;
}

std::string described(const Path &path)
{
    static constexpr std::array kNames{"offer", "dispatch", "finish", "settle",       "top-up", "close",  "tick",
                                       "write", "agent",    "lose",   "refuse-write", "kill",   "silence"};
    SearchWorld world(kFaults);
    std::string text;
    for (const std::uint8_t choice : path) {
        const SearchAction action = world.enabled()[choice];
        text += std::string(" ") + kNames[action.kind] + ":" + std::to_string(action.subject);
        world.apply(action);
    }
    return text;
}

std::unique_ptr<SearchWorld> replay(const Path &path)
{
    auto world = std::make_unique<SearchWorld>(kFaults);
    for (const std::uint8_t choice : path) {
        world->apply(world->enabled()[choice]);
    }
    return world;
}

/// Breadth first, so that the first path found to a fault is one of the shortest. The aggregates cannot be copied, so
/// each state is reached again from the start by its choices.
SearchResult search(int depth)
{
    SearchResult result;
    absl::flat_hash_set<std::uint64_t> seen;
    std::vector<Path> frontier{{}};
    for (result.depth = 0; result.depth < depth && !frontier.empty(); ++result.depth) {
        std::vector<Path> next;
        for (const Path &path : frontier) {
            const std::size_t choices = replay(path)->enabled().size();
            for (std::size_t i = 0; i < choices; ++i) {
                Path longer = path;
                longer.push_back(static_cast<std::uint8_t>(i));
                const std::unique_ptr<SearchWorld> world = replay(longer);
                ++result.transitions;
                if (!seen.insert(world->digest()).second) {
                    continue;
                }
                ++result.states;
                result.failure = world->brokenPromise();
                result.failure = result.failure.empty() ? world->stuckAfterFairRun() : result.failure;
                if (!result.failure.empty()) {
                    result.failure += " after" + described(longer);
                    return result;
                }
                next.push_back(std::move(longer));
            }
        }
        frontier = std::move(next);
    }
    return result;
}

}

// Two holders, an operator, a closer and an agent share one budget of 100 tokens. Three requests, two payments each
// told twice, two faults: answers lost, writes refused, a holder killed, a living holder closed, the agent silent. In
// every order of these up to a depth no more is spent than was paid, and from every state reached a fair run ends with
// each request answered and exactly what was charged settled. A deeper run is asked for by RADISHSWITCH_SEARCH_DEPTH.
TEST(LedgerSearchTest, everyOrderOfASmallCase_upToADepth_keepsAllPromises)
{
    const SearchResult result = search(searchDepth());

    std::printf("search: depth %d, %zu states, %zu transitions\n", result.depth, result.states, result.transitions);
    EXPECT_EQ(result.failure, "");
}

}
