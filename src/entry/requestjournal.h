#pragma once

#include "base/identifier.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace RadishSwitch
{

/// One step in the way of a request, in an operator's words.
struct RequestStep {
    std::int64_t wallClockMilliseconds = 0;
    std::string text;

    bool operator==(const RequestStep &) const = default;
};

/// What an operator can ask of a request by its id: where it came from, where it ran, how it ended.
struct RequestStory {
    RequestId request;
    BudgetId budget;
    PoolId pool;
    /// Stable name of the failure, "ok", or empty while it is in progress.
    std::string result;
    std::vector<RequestStep> steps;

    bool operator==(const RequestStory &) const = default;
};

/// Remembers the latest requests of this process for `radishctl why`.
class RequestJournal
{
public:
    static constexpr std::size_t kMostRequests = 20'000;

    explicit RequestJournal(const TimerService &timers);

    void begin(const RequestId &request, const BudgetId &budget, const PoolId &pool);
    void note(const RequestId &request, std::string text);
    void end(const RequestId &request, std::string result);

    std::optional<RequestStory> find(const RequestId &request) const;

private:
    const TimerService &m_timers;
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, RequestStory> m_stories;
    std::deque<RequestId> m_order;
};

}
