#include "smallfleet.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace RadishSwitch;

namespace
{

AdmissionQuery question(std::int64_t n, bool isKeyed)
{
    constexpr std::int64_t kBudgets = 1000;
    AdmissionQuery question;
    question.request = RequestId("0123456789abcdef" + std::to_string(n));
    question.budget = {OrganisationId("organisation"), "budget-" + std::to_string(n % kBudgets)};
    question.worstCaseTokens = 1;
    question.fingerprint = "0123456789abcdef";
    question.isKeyed = isKeyed;
    question.deadline = Instant(std::chrono::hours(1));
    return question;
}

/// One request from its question to its settlement, at a home that owns its shard.
void serve(SmallFleet &fleet, SmallEntry &entry, const AdmissionQuery &question)
{
    AttemptId attempt;
    entry.home->admit(question, [&](const absl::StatusOr<AdmitDecision> &decision) {
        attempt = std::get<Grant>(*decision).attempt;
    });
    fleet.settle();
    entry.home->noteDispatched(question.request, attempt, "10.0.0.1:7000#0123456789abcdef");
    entry.home->settle(question.request, {0, false, false, attempt});
}

}

static void homeServesRequest(benchmark::State &state)
{
    const bool isKeyed = state.range(0) != 0;
    HomeSettings settings;
    settings.registry.maximum = 10'000'000;
    SmallFleet fleet(settings);
    const auto entry = fleet.makeEntry("entry");
    std::int64_t n = 0;
    for (; n < 1000; ++n) {
        serve(fleet, *entry, question(n, isKeyed));
    }
    for (auto _ : state) {
        serve(fleet, *entry, question(n++, isKeyed));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(homeServesRequest)->ArgName("keyed")->Arg(0)->Arg(1);

/// What a home keeps of each keyed request for the time of its retention.
static void homeRemembersRequests(benchmark::State &state)
{
    constexpr std::int64_t kRequests = 100'000;
    double bytes = 0;
    for (auto _ : state) {
        SmallFleet fleet;
        const auto entry = fleet.makeEntry("entry");
        for (std::int64_t n = 0; n < 1000; ++n) {
            serve(fleet, *entry, question(n, true));
        }
        const std::size_t before = mallinfo2().uordblks;
        for (std::int64_t n = 1000; n < 1000 + kRequests; ++n) {
            serve(fleet, *entry, question(n, true));
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before) / kRequests;
    }
    state.counters["bytes_per_request"] = bytes;
}
BENCHMARK(homeRemembersRequests)->Iterations(1)->Unit(benchmark::kMillisecond);
