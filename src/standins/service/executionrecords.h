#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>

namespace RadishSwitch
{

enum class ExecutionState {
    Running,
    /// The answer went out.
    Done,
    /// A fault of the service lost the answer.
    Lost,
    /// The connection to the asker broke before the answer.
    Cancelled,
};

/// One call that the stand-in service executed.
struct Execution {
    std::uint64_t number = 0;
    std::string service;
    std::string method;
    std::string target;
    std::string requestId;
    std::string attemptId;
    std::string contentHash;
    ExecutionState state = ExecutionState::Running;
    /// Microseconds since 1970.
    std::int64_t startTime = 0;
    std::int64_t endTime = 0;

    bool operator==(const Execution &) const = default;
};

/// One line of JSON.
std::string toJson(const Execution &execution);

/// Every call that the service ever executed: the truth that measurements are held against. Safe on any thread.
class ExecutionRecords
{
public:
    /// Also writes each execution to the file at its start and its end, unless the name is empty.
    explicit ExecutionRecords(const std::string &fileName);

    /// Gives the execution its number.
    std::uint64_t add(Execution execution);
    void finish(std::uint64_t number, ExecutionState state);

    /// {"runs": [...]} in order of their start.
    std::string toJson() const;

private:
    mutable std::mutex m_mutex;
    std::deque<Execution> m_executions;
    std::ofstream m_file;
};

}
