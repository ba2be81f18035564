#include "searchworld.h"

#include <absl/container/flat_hash_set.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace RadishSwitch
{

namespace
{

using Action = SearchAction;

constexpr const char *kDepthVariable = "RADISHSWITCH_SEARCH_DEPTH";
constexpr const char *kWalksVariable = "RADISHSWITCH_SEARCH_WALKS";
constexpr int kDepthInTests = 3;
constexpr int kWalksInTests = 1000;
constexpr int kStepsOfAWalk = 60;
constexpr int kFaults = 2;

using Path = std::vector<Action>;

struct SearchResult {
    std::size_t states = 0;
    std::size_t transitions = 0;
    /// The first path to a violated invariant or to a state that cannot finish, with a description.
    std::string failure;
};

int numberFrom(const char *variable, int otherwise)
{
    const char *text = std::getenv(variable);
    return text ? std::atoi(text) : otherwise;
}

std::string described(const Path &path)
{
    static constexpr std::array kNames{"offer",
                                       "dispatch",
                                       "dispatch-to-late",
                                       "finish",
                                       "settle",
                                       "top-up",
                                       "close",
                                       "tick",
                                       "write",
                                       "land-late-write",
                                       "agent",
                                       "start-late-agent",
                                       "hear-of-late-agent",
                                       "lose-answer",
                                       "refuse-write",
                                       "hold-write-up",
                                       "kill",
                                       "silence"};
    std::string text;
    for (const Action &action : path) {
        text += std::string(" ") + kNames[action.kind] + ":" + std::to_string(action.subject);
    }
    return text;
}

std::unique_ptr<SearchWorld> replay(const Path &path)
{
    auto world = std::make_unique<SearchWorld>(kFaults);
    for (const Action &action : path) {
        world->apply(action);
    }
    return world;
}

std::string failureAt(SearchWorld &world, const Path &path)
{
    std::string failure = world.violatedInvariant();
    failure = failure.empty() ? world.failureAfterFairRun() : failure;
    return failure.empty() ? "" : failure + " after" + described(path);
}

/// Breadth-first search from the end of `start`, so that the first path found to a failure is one of the shortest. The
/// simulated processes cannot be copied, so each state is reached again by replaying its path.
SearchResult search(const Path &start, int depth)
{
    struct Reached {
        Path path;
        std::vector<Action> enabled;
    };

    SearchResult result;
    absl::flat_hash_set<std::uint64_t> seen;
    std::vector<Reached> frontier{{start, replay(start)->enabled()}};
    for (int i = 0; i < depth; ++i) {
        std::vector<Reached> next;
        for (const Reached &reached : frontier) {
            for (const Action &action : reached.enabled) {
                Path longer = reached.path;
                longer.push_back(action);
                const std::unique_ptr<SearchWorld> world = replay(longer);
                ++result.transitions;
                if (!seen.insert(world->digest()).second) {
                    continue;
                }
                ++result.states;
                std::vector<Action> enabled = world->enabled();
                result.failure = failureAt(*world, longer);
                if (!result.failure.empty()) {
                    return result;
                }
                next.push_back({std::move(longer), std::move(enabled)});
            }
        }
        frontier = std::move(next);
    }
    return result;
}

/// One path of random actions, far longer than the search can reach.
std::string walk(std::uint64_t seed)
{
    SeededRandom random(seed);
    SearchWorld world(kFaults);
    Path path;
    for (int i = 0; i < kStepsOfAWalk; ++i) {
        const std::vector<Action> enabled = world.enabled();
        if (enabled.empty()) {
            break;
        }
        path.push_back(enabled[random.below(enabled.size())]);
        world.apply(path.back());
        if (const std::string violation = world.violatedInvariant(); !violation.empty()) {
            return violation + " after" + described(path);
        }
    }
    return failureAt(world, path);
}

/// Both holders have a portion; one request runs and another is granted.
const Path kBothHold{{Action::Offer, 0}, {Action::Tick, 0}, {Action::Write, 0}, {Action::Dispatch, 0},
                     {Action::Offer, 1}, {Action::Tick, 1}, {Action::Write, 1}};

Path operator+(Path path, const Path &more)
{
    path.insert(path.end(), more.begin(), more.end());
    return path;
}

/// As kBothHold, and a closer has begun to close the first holder, which is alive.
const Path kFirstIsClosing = kBothHold + Path{{Action::Close, 0}, {Action::Tick, 2}, {Action::Write, 2}};

/// A request is granted but not sent yet; in the meantime its portion is closed and settled.
const Path kClosedBeforeDispatch{{Action::Offer, 0}, {Action::Tick, 0},  {Action::Write, 0}, {Action::Close, 0},
                                 {Action::Tick, 2},  {Action::Write, 2}, {Action::Tick, 2},  {Action::Agent, 0},
                                 {Action::Tick, 2},  {Action::Write, 2}};

/// The first holder's portion is used up, and a request waits there for the ledger.
const Path kFirstIsShort = kBothHold + Path{{Action::Offer, 2}, {Action::Tick, 0}};

}

// Two holders, an operator, a closer and an agent share one budget of 100 tokens, with three requests and two payments
// that are each submitted twice. Two faults may happen: a lost answer, a rejected or delayed write, a killed holder, a
// living holder that is closed, or an unreachable agent. Another agent may start late. The search tries every order of
// these events up to a depth, from each of five initial paths. Spending must never exceed the paid amount. From every
// reached state a run without further faults must answer each request and settle exactly the charges.
TEST(LedgerSearchTest, everyOrderOfEvents_upToADepth_keepsAllInvariants)
{
    const int depth = numberFrom(kDepthVariable, kDepthInTests);
    for (const Path &start : {Path(), kBothHold, kFirstIsClosing, kFirstIsShort, kClosedBeforeDispatch}) {
        const SearchResult result = search(start, depth);
        std::printf("search: %d steps beyond %zu, %zu states, %zu transitions\n", depth, start.size(), result.states,
                    result.transitions);
        ASSERT_EQ(result.failure, "");
    }
}

// The same fleet on long random paths, which are the same in each run of the test.
TEST(LedgerSearchTest, longRandomPaths_sameFleet_keepAllInvariants)
{
    const int walks = numberFrom(kWalksVariable, kWalksInTests);
    for (int i = 1; i <= walks; ++i) {
        ASSERT_EQ(walk(static_cast<std::uint64_t>(i)), "") << "walk " << i;
    }
    std::printf("search: %d random paths of %d steps\n", walks, kStepsOfAWalk);
}

}
