#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace RadishSwitch
{

/// The load of the engine's batch at one moment.
struct BatchLoad {
    int running = 0;
    int queued = 0;
    /// Prompt and answer tokens of the runs that wait.
    std::int64_t queuedTokens = 0;

    bool operator==(const BatchLoad &) const = default;
};

/// Lets a bounded number of runs into the batch; of those that wait, the one with the highest priority goes first, and
/// of equal ones the one that came first. Safe on any thread; `onAdmitted` is called outside the lock.
class BatchScheduler
{
public:
    using Ticket = std::uint64_t;

    explicit BatchScheduler(int slots);

    /// Takes a run in; `onAdmitted` is called once, perhaps from inside this call, when it has a slot.
    Ticket enter(int priority, std::int64_t tokens, std::function<void()> onAdmitted);

    /// Ends a run or takes one that waits out of the queue.
    void leave(Ticket ticket);

    BatchLoad load() const;

private:
    struct Place {
        int priority = 0;
        Ticket ticket = 0;

        bool operator<(const Place &other) const
        {
            return priority != other.priority ? priority > other.priority : ticket < other.ticket;
        }
    };

    struct Waiting {
        std::int64_t tokens = 0;
        std::function<void()> onAdmitted;
    };

    std::function<void()> takeQueued(std::map<Place, Waiting>::iterator it);

    mutable std::mutex m_mutex;
    int m_slots;
    Ticket m_lastTicket = 0;
    std::map<Ticket, Place> m_places;
    std::map<Place, Waiting> m_waiting;
    std::set<Ticket> m_running;
    std::int64_t m_queuedTokens = 0;
};

}
