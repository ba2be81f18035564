#pragma once

#include "../golden/sessionrecorder.h"
#include "fakemessagestream.h"
#include "requests/runtable.h"
#include "wire.h"

#include <map>
#include <string>
#include <vector>

/// An agent with its engine: the real run table, an engine that answers some words at a fixed pace, and everything
/// that goes over either interface written down.
class GoldenAgent
{
public:
    using StreamPointer = FakeMessageClients::StreamPointer;

    GoldenAgent(std::string name, VirtualLoop &loop, SessionRecorder &recorder, RadishSwitch::RunTable &runs);

    /// A stream that an entry has opened.
    void serve(const StreamPointer &stream);

    /// From now on the engine answers with these words, one token each.
    void setAnswer(std::vector<std::string> words);

    /// The engine dies after so many words of its next answer.
    void dieAfter(std::size_t words);

    std::int64_t engineRuns() const;
    std::int64_t engineTokens() const;
    std::int64_t chargedTokens() const;

private:
    struct Run {
        RadishSwitch::AttemptId attempt;
        /// As the entry asked for it.
        bool isStreamed = false;
        std::int64_t priorTokens = 0;
        std::vector<std::string> words;
        std::size_t dieAfter = 0;
        std::string answer;
        std::int64_t charged = 0;
        bool isDone = false;
        std::vector<StreamPointer> readers;
    };

    void start(const StreamPointer &stream, const RadishSwitch::wire::RunRequest &request);
    void attach(const StreamPointer &stream, const RadishSwitch::AttemptId &attempt, std::uint64_t offset);
    void speak(const std::string &attempt, std::size_t word);
    void end(Run &run);
    void die(Run &run);
    void tell(const StreamPointer &stream, const Run &run, const RadishSwitch::wire::RunUpdate &update,
              const std::string &text);
    void tellAll(const Run &run, const RadishSwitch::wire::RunUpdate &update, const std::string &text);
    static RadishSwitch::wire::RunUpdate updateOf(const Run &run);

    const std::string m_name;
    const std::string m_engine;
    VirtualLoop &m_loop;
    SessionRecorder &m_recorder;
    RadishSwitch::RunTable &m_table;
    std::vector<std::string> m_words;
    std::size_t m_dieAfter = 0;
    std::map<std::string, Run> m_runs;
    std::int64_t m_engineRuns = 0;
    std::int64_t m_engineTokens = 0;
};
