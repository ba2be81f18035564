#pragma once

#include "base/failure.h"
#include "budgets/budgetholder.h"
#include "budgets/ledgereditor.h"
#include "budgets/portioncloser.h"
#include "fakeagents.h"
#include "manualtaskqueue.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <xxhash.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The store of a simulated fleet. A write waits until the search chooses its outcome; a read is answered as soon as
/// the process asks.
class SearchStore : public ObjectStore
{
public:
    struct Shared {
        std::map<std::string, StoredObject> objects;
        std::uint64_t version = 0;
    };

    SearchStore(Shared &shared, TaskQueue &tasks)
        : m_shared(shared)
        , m_tasks(tasks)
    {
    }

    bool hasWrite() const
    {
        return m_write.has_value();
    }

    /// Executes the waiting write. With `isAnswerLost` the process gets a timeout instead of the result.
    void execute(bool isAnswerLost)
    {
        const Write write = *std::exchange(m_write, std::nullopt);
        StoredObject &object = m_shared.objects[write.key];
        if (object.version != write.expectedVersion) {
            return write.callback(makeFailure(FailureCode::VersionConflict, write.key));
        }
        object = StoredObject{write.key, write.value, ++m_shared.version};
        if (isAnswerLost) {
            return write.callback(makeFailure(FailureCode::StoreTimeout, write.key));
        }
        write.callback(object.version);
    }

    /// Drops the waiting write; the process gets an error that the store is unavailable.
    void refuse()
    {
        std::exchange(m_write, std::nullopt)->callback(makeFailure(FailureCode::StoreUnavailable, "refused"));
    }

    /// Delays the waiting write; the process gets a timeout, and the write may take effect later or never.
    void delayWrite()
    {
        m_late = std::exchange(m_write, std::nullopt);
        m_late->callback(makeFailure(FailureCode::StoreTimeout, "held up"));
    }

    bool hasLateWrite() const
    {
        return m_late.has_value();
    }

    void landLateWrite()
    {
        const Write write = *std::exchange(m_late, std::nullopt);
        StoredObject &object = m_shared.objects[write.key];
        if (object.version == write.expectedVersion) {
            object = StoredObject{write.key, write.value, ++m_shared.version};
        }
    }

    void get(const std::string &key, Callback<StoredObject> callback) override
    {
        m_tasks.post([this, key, callback = std::move(callback)] {
            const auto it = m_shared.objects.find(key);
            const bool isThere = it != m_shared.objects.end() && it->second.version != 0;
            reads = XXH64(isThere ? it->second.value.data() : "", isThere ? it->second.value.size() : 0, reads);
            callback(isThere ? absl::StatusOr<StoredObject>(it->second) : makeFailure(FailureCode::ObjectMissing, key));
        });
    }

    void put(const std::string &key, std::string value, std::uint64_t expectedVersion,
             Callback<std::uint64_t> callback) override
    {
        m_write = Write{key, std::move(value), expectedVersion, std::move(callback)};
    }

    void remove(const std::string &, std::uint64_t, std::function<void(absl::Status)>) override
    {
    }
    void list(const std::string &, Callback<StoreChanges>) override
    {
    }
    void watch(const std::string &, std::uint64_t, Callback<StoreChanges>) override
    {
    }

    /// Digest of all values that were read.
    std::uint64_t reads = 0;

private:
    struct Write {
        std::string key;
        std::string value;
        std::uint64_t expectedVersion;
        Callback<std::uint64_t> callback;
    };

    Shared &m_shared;
    TaskQueue &m_tasks;
    std::optional<Write> m_write;
    std::optional<Write> m_late;
};

/// One event that the search may choose next.
struct SearchAction {
    enum Kind {
        Offer,
        Dispatch,
        /// Sends the request to the agent that started late.
        DispatchToLate,
        Finish,
        Settle,
        TopUp,
        Close,
        Tick,
        Write,
        LandLateWrite,
        Agent,
        /// Another agent starts; in the second event a holder discovers it.
        StartLateAgent,
        HearOfLateAgent,
        // Faults; the number of faults on a path is limited.
        LoseAnswer,
        RefuseWrite,
        HoldWriteUp,
        Kill,
        SilenceAgent,
    };

    Kind kind;
    int subject = 0;

    bool isFault() const
    {
        return kind >= LoseAnswer;
    }

    bool operator==(const SearchAction &) const = default;
};

/// A small simulated fleet of the real classes: two holders, a closer, an operator, an agent and one that starts late,
/// three requests and two top-ups. Each process has its own clock, which advances only when the search chooses it, so
/// pauses of any length are among the orders searched.
class SearchWorld
{
public:
    enum class Stage {
        NotOffered,
        Waiting,
        Granted,
        Running,
        Finished,
        Settled,
        Refused,
    };

    explicit SearchWorld(int faults);

    std::vector<SearchAction> enabled() const;
    void apply(const SearchAction &action);

    /// Two fleets with the same digest have had the same inputs in the same order at each process, and are equivalent.
    std::uint64_t digest() const;

    /// Checks the invariants of every state; empty when they hold, otherwise a description.
    std::string violatedInvariant() const;

    /// Runs all remaining events without further faults. Empty when each request was answered, all portions are
    /// settled, and exactly the charges of the agents are settled; otherwise a description.
    std::string failureAfterFairRun();

private:
    static constexpr int kHolders = 2;
    static constexpr int kCloser = 2;
    static constexpr int kOperator = 3;
    static constexpr int kTicksOfOneStep = 20;

    struct Actor {
        explicit Actor(SearchStore::Shared &shared);

        ManualTaskQueue tasks;
        VirtualTimerService timers;
        SeededRandom random;
        SearchStore store;
        std::unique_ptr<Ledger> ledger;
        std::unique_ptr<BudgetHolder> holder;
        std::unique_ptr<PortionCloser> closer;
        std::unique_ptr<LedgerEditor> editor;
        std::uint64_t history = 0;
    };

    struct Request {
        int holder;
        std::int64_t tokens;
        std::int64_t charge;
        Stage stage = Stage::NotOffered;
        PortionId portion{};
        Instant confirmedAt{};
        std::string agent{};
    };

    static const SearchStore::Shared &initialStore();
    RequestId id(int request) const;
    void offer(int request);
    void dispatch(int request, const std::string &agent);
    bool mayGoToLateAgent(const Request &request) const;
    void tick(Actor &actor);
    void topUp(int payment);
    void settleDown(Actor &actor);
    const BudgetRecord &record() const;
    bool isEverythingDone() const;

    mutable ManualTaskQueue m_agentTasks;
    FakeAgents m_agents;
    SearchStore::Shared m_shared;
    std::vector<std::unique_ptr<Actor>> m_actors;
    std::vector<Request> m_requests;
    std::array<int, 2> m_submittedPayments{};
    std::array<bool, kHolders> m_isClosing{};
    std::array<bool, kHolders> m_isDead{};
    bool m_isLateAgentThere = false;
    std::array<Instant, kHolders> m_lateAgentKnownAt{Instant::max(), Instant::max()};
    bool m_isAgentSilent = false;
    int m_faults;
    std::int64_t m_charged = 0;
    mutable BudgetRecord m_record;
    mutable std::uint64_t m_recordVersion = 0;
};

}
