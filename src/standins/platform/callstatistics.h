#pragma once

#include "base/timerservice.h"

#include <cstdint>
#include <map>
#include <string>

namespace RadishSwitch
{

enum class CallKind {
    Get,
    Put,
    Delete,
    List,
    Watch,
};

bool isWrite(CallKind kind);

/// What the stand-in counted since its start.
class CallStatistics
{
public:
    /// A call that was served, on a key or prefix.
    void count(CallKind kind, const std::string &key, std::size_t bytes, Instant now);
    void countAnswer(std::size_t bytes);
    void countLimited();
    void countAway();
    void countLostAnswer();

    /// `{"calls": {KIND: N}, "prefixes": {SEGMENT: {KIND: N}}, "bytes_in", "bytes_out", "limited", "away",
    /// "lost_answers", "busiest_second": {"reads", "writes"}}`
    std::string toJson() const;

private:
    /// Calls in the present second, and the most there were in one.
    struct Peak {
        std::int64_t second = 0;
        std::int64_t calls = 0;
        std::int64_t most = 0;

        void count(Instant now);
    };

    using Counts = std::map<CallKind, std::int64_t>;

    Counts m_calls;
    std::map<std::string, Counts> m_prefixes;
    Peak m_reads;
    Peak m_writes;
    std::int64_t m_bytesIn = 0;
    std::int64_t m_bytesOut = 0;
    std::int64_t m_limited = 0;
    std::int64_t m_away = 0;
    std::int64_t m_lostAnswers = 0;
};

}
