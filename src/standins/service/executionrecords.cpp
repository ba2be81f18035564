#include "executionrecords.h"

#include "standinprogram.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

std::string_view toString(ExecutionState state)
{
    switch (state) {
    case ExecutionState::Running:
        return "running";
    case ExecutionState::Done:
        return "done";
    case ExecutionState::Lost:
        return "lost";
    case ExecutionState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

}

std::string toJson(const Execution &execution)
{
    const nlohmann::ordered_json document{
        {"run", execution.number},
        {"endpoint", execution.service},
        {"method", execution.method},
        {"target", execution.target},
        {"request_id", execution.requestId},
        {"attempt_id", execution.attemptId},
        {"content_hash", execution.contentHash},
        {"state", toString(execution.state)},
        {"start_us", execution.startTime},
        {"end_us", execution.endTime},
    };
    return document.dump();
}

ExecutionRecords::ExecutionRecords(const std::string &fileName)
{
    if (!fileName.empty()) {
        m_file.open(fileName, std::ios::app);
    }
}

std::uint64_t ExecutionRecords::add(Execution execution)
{
    const std::lock_guard lock(m_mutex);
    execution.number = m_executions.size();
    execution.startTime = recordTime();
    m_executions.push_back(std::move(execution));
    m_file << RadishSwitch::toJson(m_executions.back()) << std::endl;
    return m_executions.back().number;
}

void ExecutionRecords::finish(std::uint64_t number, ExecutionState state)
{
    const std::lock_guard lock(m_mutex);
    m_executions[number].state = state;
    m_executions[number].endTime = recordTime();
    m_file << RadishSwitch::toJson(m_executions[number]) << std::endl;
}

std::string ExecutionRecords::toJson() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "{\"runs\":[";
    for (const Execution &execution : m_executions) {
        text += execution.number == 0 ? "\n" : ",\n";
        text += RadishSwitch::toJson(execution);
    }
    return text + "\n]}\n";
}

}
