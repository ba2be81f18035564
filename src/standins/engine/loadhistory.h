#pragma once

#include "base/timerservice.h"
#include "batchscheduler.h"

#include <cstdint>
#include <deque>
#include <mutex>

namespace RadishSwitch
{

/// The engine's load in the recent past, so that its reports can lag. Safe on any thread.
class LoadHistory
{
public:
    void add(const BatchLoad &load, std::int64_t tokens);

    /// The load as it was `lag` ago.
    BatchLoad load(Duration lag) const;

    /// Tokens made per second over the last second, as it was `lag` ago.
    double tokensPerSecond(Duration lag) const;

private:
    struct Entry {
        std::int64_t time = 0;
        BatchLoad load;
        std::int64_t tokens = 0;
    };

    mutable std::mutex m_mutex;
    std::deque<Entry> m_entries;
};

}
