#pragma once

#include "enginerun.h"

#include <deque>
#include <fstream>
#include <mutex>
#include <string>

namespace RadishSwitch
{

/// Every run that the engine ever took in. Safe on any thread.
class RunRecords
{
public:
    /// Also writes each run to the file at its start and its end, unless the name is empty.
    explicit RunRecords(const std::string &fileName);

    /// Gives the run its number.
    std::uint64_t add(EngineRun run);

    void setRunning(std::uint64_t number, std::int64_t cachedTokens);
    void addCompletionTokens(std::uint64_t number, std::int64_t count);
    void finish(std::uint64_t number, EngineRunState state);

    /// Writes the runs that are still open to the file, for an engine that is about to die.
    void writeOpenRuns();

    /// {"runs": [...]} in order of their start.
    std::string toJson() const;

private:
    /// Lock order: taken last, holding no other afterwards.
    mutable std::mutex m_mutex;
    std::deque<EngineRun> m_runs;
    std::ofstream m_file;
};

}
