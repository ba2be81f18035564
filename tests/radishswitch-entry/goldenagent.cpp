#include "goldenagent.h"

#include "wireconversion.h"

#include <utility>

using namespace RadishSwitch;

namespace
{

constexpr Duration kLinkDelay = std::chrono::milliseconds(1);
constexpr Duration kWordPause = std::chrono::milliseconds(20);
constexpr std::int64_t kPromptTokens = 6;
constexpr char kEntry[] = "entry-1";

std::string chunkOf(const std::string &word, bool isStreamed)
{
    if (!isStreamed) {
        return word;
    }
    return R"(data: {"id":"chat","choices":[{"index":0,"delta":{"content":")" + word + R"("}}]})" + "\n\n";
}

}

GoldenAgent::GoldenAgent(std::string name, VirtualLoop &loop, SessionRecorder &recorder, RunTable &runs)
    : m_name(std::move(name))
    , m_engine("engine of " + m_name)
    , m_loop(loop)
    , m_recorder(recorder)
    , m_table(runs)
{
}

void GoldenAgent::setAnswer(std::vector<std::string> words)
{
    m_words = std::move(words);
}

void GoldenAgent::dieAfter(std::size_t words)
{
    m_dieAfter = words;
}

std::int64_t GoldenAgent::engineRuns() const
{
    return m_engineRuns;
}

std::int64_t GoldenAgent::chargedTokens() const
{
    std::int64_t sum = 0;
    for (const auto &[attempt, run] : m_runs) {
        sum += run.charged;
    }
    return sum;
}

std::int64_t GoldenAgent::engineTokens() const
{
    return m_engineTokens;
}

void GoldenAgent::serve(const StreamPointer &stream)
{
    if (stream->path == "/run") {
        const wire::RunRequest request = *parseFrame<wire::RunRequest>(stream->firstFrame);
        std::string text = "run this, at most " + std::to_string(request.reserved_tokens()) + " tokens on "
            + request.portion_id() + ", epoch " + std::to_string(request.epoch());
        if (request.prior_completion_tokens() > 0) {
            text += "; tokens of the answer that are there: " + std::to_string(request.prior_completion_tokens());
        }
        m_recorder.sends(kEntry, m_name, text);
        m_loop.timers.after(kLinkDelay, [this, stream, request] {
            start(stream, request);
        });
        return;
    }
    const wire::AttachRequest request = *parseFrame<wire::AttachRequest>(stream->firstFrame);
    m_recorder.sends(kEntry, m_name, "the answer of a run, from byte " + std::to_string(request.offset()));
    m_loop.timers.after(kLinkDelay, [this, stream, request] {
        attach(stream, AttemptId(request.attempt_id()), request.offset());
    });
}

void GoldenAgent::start(const StreamPointer &stream, const wire::RunRequest &request)
{
    Run run;
    run.attempt = AttemptId(request.attempt_id());
    run.isStreamed = request.stream();
    run.priorTokens = request.prior_completion_tokens();
    run.answer = request.prior_answer();
    run.readers = {stream};
    const absl::StatusOr<RunDecision> decision = m_table.start(runStartFromWire(request));
    if (!decision.ok()) {
        wire::RunUpdate update = updateOf(run);
        *update.mutable_refused() = failureToWire(decision.status());
        return tell(stream, run, update, "refused: " + std::string(failureName(failureCode(decision.status()))));
    }
    run.words = m_words;
    run.dieAfter = std::exchange(m_dieAfter, 0);
    ++m_engineRuns;
    m_recorder.sends(m_name, m_engine, request.method() + " " + request.target());
    wire::RunUpdate head = updateOf(run);
    head.mutable_head()->set_status(200);
    head.mutable_head()->set_content_type(run.isStreamed ? "text/event-stream" : "text/plain");
    tell(stream, run, head, "it runs");
    m_runs[request.attempt_id()] = run;
    m_loop.timers.after(kWordPause, [this, attempt = request.attempt_id()] {
        speak(attempt, 0);
    });
}

void GoldenAgent::attach(const StreamPointer &stream, const AttemptId &attempt, std::uint64_t offset)
{
    Run &run = m_runs.at(attempt.value());
    wire::RunUpdate head = updateOf(run);
    head.mutable_head()->set_status(200);
    head.mutable_head()->set_content_type(run.isStreamed ? "text/event-stream" : "text/plain");
    tell(stream, run, head, "here it is");
    wire::RunUpdate chunk = updateOf(run);
    chunk.mutable_chunk()->set_offset(offset);
    chunk.mutable_chunk()->set_data(run.answer.substr(offset));
    tell(stream, run, chunk, "all that is kept of the answer");
    if (run.isDone) {
        wire::RunUpdate done = updateOf(run);
        done.mutable_done()->set_charged_tokens(run.charged);
        tell(stream, run, done, "done, " + std::to_string(run.charged) + " tokens");
    } else {
        run.readers.push_back(stream);
    }
}

void GoldenAgent::speak(const std::string &attempt, std::size_t word)
{
    Run &run = m_runs.at(attempt);
    if (run.dieAfter > 0 && word == run.dieAfter) {
        return die(run);
    }
    if (word == run.words.size()) {
        return end(run);
    }
    ++m_engineTokens;
    m_recorder.sends(m_engine, m_name, "\"" + run.words[word] + "\"");
    wire::RunUpdate update = updateOf(run);
    const std::string data = chunkOf(run.words[word], run.isStreamed);
    update.mutable_chunk()->set_offset(run.answer.size());
    update.mutable_chunk()->set_data(data);
    run.answer += data;
    tellAll(run, update, "more of the answer: \"" + run.words[word] + "\"");
    m_loop.timers.after(kWordPause, [this, attempt, word] {
        speak(attempt, word + 1);
    });
}

void GoldenAgent::end(Run &run)
{
    const auto words = static_cast<std::int64_t>(run.words.size());
    m_recorder.sends(m_engine, m_name, "end of the answer");
    run.isDone = true;
    run.charged = m_table.noteDone(run.attempt, kPromptTokens + run.priorTokens + words);
    wire::RunUpdate update = updateOf(run);
    update.mutable_done()->set_charged_tokens(run.charged);
    tellAll(run, update, "done, " + std::to_string(run.charged) + " tokens");
}

void GoldenAgent::die(Run &run)
{
    m_recorder.happens(m_engine + " dies");
    m_table.noteFailed(run.attempt);
    wire::RunUpdate update = updateOf(run);
    *update.mutable_failed() = failureToWire(makeFailure(FailureCode::EndpointFailed, "the engine died"));
    tellAll(run, update, "the run failed");
}

void GoldenAgent::tell(const StreamPointer &stream, const Run &, const wire::RunUpdate &update, const std::string &text)
{
    m_recorder.sends(m_name, kEntry, text);
    m_loop.timers.after(kLinkDelay, [stream, update] {
        stream->deliver(update);
    });
}

void GoldenAgent::tellAll(const Run &run, const wire::RunUpdate &update, const std::string &text)
{
    for (const StreamPointer &stream : run.readers) {
        tell(stream, run, update, text);
    }
}

wire::RunUpdate GoldenAgent::updateOf(const Run &run)
{
    wire::RunUpdate update;
    update.set_attempt_id(run.attempt.value());
    return update;
}
