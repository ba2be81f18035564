#include "fakeengine.h"
#include "limits/fairqueue.h"
#include "routing/poolrouter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// Three entries with their queues in front of one pool, which get more requests than the pool can serve.
class OverloadTest : public testing::Test
{
protected:
    struct Customer {
        std::string name;
        double share = 1;
        int priority = 0;
        /// Its share of the offered load.
        double loadShare = 1;
    };

    struct Outcome {
        double goodput = 0;
        std::map<std::string, double> tokens;
        Duration urgentFirstTokenP95{};
        int served = 0;
        /// Refused after more than half of the time until the deadline.
        int refusedLate = 0;
    };

    Outcome run(double utilisation, bool usesQueue = true)
    {
        m_outcome = {};
        m_urgentFirstTokens.clear();
        m_usesQueue = usesQueue;
        m_entries.clear();
        m_engines.clear();
        m_random = SeededRandom(11);
        for (int i = 0; i < kEngines; ++i) {
            m_engines.push_back(std::make_unique<FakeEngine>(m_timers, kSlots));
        }
        for (std::uint64_t i = 0; i < kEntries; ++i) {
            m_entries.push_back(std::make_unique<Entry>(i));
            m_entries.back()->router.setCapacityShare(i, kEntries);
        }
        sendReports();
        const TimerId reports = m_timers.every(500ms, [this] {
            sendReports();
        });
        const TimerId ticks = m_timers.every(50ms, [this] {
            for (const auto &entry : m_entries) {
                serve(*entry);
            }
        });
        m_gapSeconds = kMeanTokens / (kEngines * kSlots * FakeEngine::kTokensPerSecondPerSlot * utilisation);
        m_end = m_timers.now() + kSpan;
        offerNext();
        m_timers.advance(kSpan);
        m_timers.advance(600s);
        m_timers.cancel(reports);
        m_timers.cancel(ticks);
        std::ranges::sort(m_urgentFirstTokens);
        m_outcome.urgentFirstTokenP95 = m_urgentFirstTokens[m_urgentFirstTokens.size() * 95 / 100];
        return m_outcome;
    }

    const std::vector<Customer> m_customers{
        {"big", 3, 0, 0.2},
        {"middle", 2, 0, 0.15},
        {"greedy", 1, 0, 0.55},
        {"urgent", 1, 1, 0.1},
    };

private:
    static constexpr int kEngines = 8;
    static constexpr std::uint32_t kSlots = 8;
    static constexpr int kEntries = 3;
    static constexpr double kMeanTokens = 100;
    static constexpr Duration kSpan = 120s;
    static constexpr Duration kTimeToDeadline = 4s;

    struct Entry {
        explicit Entry(std::uint64_t seed)
            : random(seed)
        {
        }

        SeededRandom random;
        EndpointDirectory directory;
        PoolRouter router{directory, random};
        FairQueue queue;
    };

    struct Waiting {
        const Customer *customer = nullptr;
        Instant arrived{};
    };

    void sendReports()
    {
        ++m_sequence;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            EndpointReport report;
            report.endpoint = EndpointId("engine-" + std::to_string(i));
            report.incarnation = IncarnationId("life");
            report.sequence = m_sequence;
            report.pool = m_pool;
            report.load = m_engines[i]->load();
            for (const auto &entry : m_entries) {
                entry->directory.applyReport(report, m_timers.now());
            }
        }
    }

    void offerNext()
    {
        if (m_timers.now() >= m_end) {
            return;
        }
        double drawn = m_random.fraction();
        const Customer *customer = m_customers.data();
        while (drawn >= customer->loadShare) {
            drawn -= customer->loadShare;
            ++customer;
        }
        arrive(*m_entries[m_random.below(m_entries.size())], *customer);
        const double gap = -std::log(1 - m_random.fraction()) * m_gapSeconds;
        m_timers.after(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] {
            offerNext();
        });
    }

    void arrive(Entry &entry, const Customer &customer)
    {
        const RequestId id("request-" + std::to_string(++m_count));
        const auto tokens = static_cast<std::int64_t>(kMeanTokens / 2 + static_cast<double>(m_random.below(100)));
        m_waiting[id] = {&customer, m_timers.now()};
        const QueuedRequest request{id,     OrganisationId(customer.name),   customer.priority, customer.share,
                                    tokens, m_timers.now() + kTimeToDeadline};
        if (!m_usesQueue) {
            return dispatch(entry, request);
        }
        entry.queue.enqueue(request, m_timers.now()).IgnoreError();
        serve(entry);
    }

    void serve(Entry &entry)
    {
        for (const QueueRefusal &refusal : entry.queue.expire(m_timers.now())) {
            const Duration held = m_timers.now() - m_waiting.at(refusal.request).arrived;
            m_outcome.refusedLate += held > kTimeToDeadline / 2 ? 1 : 0;
        }
        while (const auto request = entry.queue.next(m_timers.now(), entry.router.room(m_pool))) {
            dispatch(entry, *request);
        }
    }

    void dispatch(Entry &entry, const QueuedRequest &request)
    {
        const Waiting waiting = m_waiting.at(request.request);
        RouteQuery query;
        query.pool = m_pool;
        const auto choice = entry.router.choose(query, m_timers.now());
        ASSERT_TRUE(choice.ok());
        const EndpointId endpoint = choice->endpoint;
        entry.router.noteDispatched(endpoint, request.cost, m_timers.now());
        FakeEngine::Run run;
        run.answerTokens = request.cost;
        run.firstToken = [this, &entry, endpoint, waiting] {
            entry.router.noteFirstToken(endpoint, {}, m_timers.now());
            if (waiting.customer->priority > 0) {
                m_urgentFirstTokens.push_back(m_timers.now() - waiting.arrived);
            }
        };
        run.done = [this, &entry, endpoint, waiting, request] {
            entry.router.noteFinished(endpoint, RunEnd::Ok, m_timers.now());
            const double tokens = static_cast<double>(request.cost);
            const Duration run =
                Duration(static_cast<Duration::rep>(tokens / FakeEngine::kTokensPerSecondPerSlot * 1e6));
            if (m_timers.now() < m_end && m_timers.now() <= waiting.arrived + kTimeToDeadline + run) {
                ++m_outcome.served;
                m_outcome.goodput += tokens;
                m_outcome.tokens[waiting.customer->name] += tokens;
            }
            serve(entry);
        };
        m_engines[std::stoul(endpoint.value().substr(7))]->submit(std::move(run));
    }

    const PoolId m_pool{"pool"};
    VirtualTimerService m_timers;
    SeededRandom m_random;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::map<RequestId, Waiting> m_waiting;
    std::vector<Duration> m_urgentFirstTokens;
    Outcome m_outcome;
    Instant m_end{};
    double m_gapSeconds = 1;
    std::uint64_t m_sequence = 0;
    int m_count = 0;
    bool m_usesQueue = true;
};

// Guards against work for callers that have disconnected. Up to three times what the pool can serve is offered. If all
// of it were sent on, it would wait in the engines until its callers had left, and hardly any answer would be of use.
TEST_F(OverloadTest, goodput_threeTimesTheCapacity_staysNearBest)
{
    const double best = std::max(run(1).goodput, run(2).goodput);

    EXPECT_GE(run(3).goodput, 0.9 * best);
    EXPECT_LT(run(3, false).goodput, 0.5 * best);
}

// Guards against refusals that come too late for the caller to try elsewhere. A request that was admitted may still be
// refused when more important requests arrive, but with few exceptions that must happen within half of the time until
// its deadline.
TEST_F(OverloadTest, refusals_threeTimesTheCapacity_fewComeLate)
{
    const Outcome outcome = run(3);

    EXPECT_LE(outcome.refusedLate, outcome.served / 100);
}

TEST_F(OverloadTest, shares_greedyOrganisationAtThreeTimesTheCapacity_areKeptWithinATenth)
{
    const Outcome outcome = run(3);
    double total = 0;
    for (const char *name : {"big", "middle", "greedy"}) {
        total += outcome.tokens.at(name);
    }

    EXPECT_NEAR(outcome.tokens.at("big") / total, 3.0 / 6, 3.0 / 60);
    EXPECT_NEAR(outcome.tokens.at("middle") / total, 2.0 / 6, 2.0 / 60);
    EXPECT_NEAR(outcome.tokens.at("greedy") / total, 1.0 / 6, 1.0 / 60);
}

// Guards against a request of a high priority that waits too long. All slots are taken when it arrives at one of three
// entries. It must not wait in an engine behind the work of the other entries, nor in its entry because low priorities
// take each slot that becomes free.
TEST_F(OverloadTest, highPriority_threeTimesTheCapacity_waitsLittle)
{
    EXPECT_LE(run(3).urgentFirstTokenP95, 400ms);
    EXPECT_GT(run(3, false).urgentFirstTokenP95, 60s);
}
