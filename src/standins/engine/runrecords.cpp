#include "runrecords.h"

#include "standinprogram.h"

namespace RadishSwitch
{

RunRecords::RunRecords(const std::string &fileName)
{
    if (!fileName.empty()) {
        m_file.open(fileName, std::ios::app);
    }
}

std::uint64_t RunRecords::add(EngineRun run)
{
    const std::lock_guard lock(m_mutex);
    run.number = m_runs.size();
    run.startTime = recordTime();
    m_runs.push_back(std::move(run));
    m_file << RadishSwitch::toJson(m_runs.back()) << std::endl;
    return m_runs.back().number;
}

void RunRecords::setRunning(std::uint64_t number, std::int64_t cachedTokens)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].state = EngineRunState::Running;
    m_runs[number].cachedTokens = cachedTokens;
}

void RunRecords::addCompletionTokens(std::uint64_t number, std::int64_t count)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].completionTokens += count;
}

void RunRecords::finish(std::uint64_t number, EngineRunState state)
{
    const std::lock_guard lock(m_mutex);
    m_runs[number].state = state;
    m_runs[number].endTime = recordTime();
    m_file << RadishSwitch::toJson(m_runs[number]) << std::endl;
}

void RunRecords::writeOpenRuns()
{
    const std::lock_guard lock(m_mutex);
    for (EngineRun &run : m_runs) {
        if (run.endTime == 0) {
            run.state = EngineRunState::Cut;
            run.endTime = recordTime();
            m_file << RadishSwitch::toJson(run) << std::endl;
        }
    }
}

std::string RunRecords::toJson() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "{\"runs\":[";
    for (const EngineRun &run : m_runs) {
        text += run.number == 0 ? "\n" : ",\n";
        text += RadishSwitch::toJson(run);
    }
    return text + "\n]}\n";
}

}
