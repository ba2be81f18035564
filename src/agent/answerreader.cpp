#include "answerreader.h"

#include "base/failure.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumChunkBytes = 64 * 1024;
/// With more than this waiting for a slow reader, the rest stays in the buffer.
constexpr std::size_t kHighWaterBytes = 256 * 1024;
constexpr std::size_t kLowWaterBytes = 64 * 1024;

}

AnswerReader::AnswerReader(MessageStreamPointer stream, AttemptId attempt, AttemptId askedAttempt, std::uint64_t offset)
    : m_stream(std::move(stream))
    , m_attempt(std::move(attempt))
    , m_askedAttempt(std::move(askedAttempt))
    , m_offset(offset)
{
}

void AnswerReader::sendAccepted(const RequestId &request, std::int64_t priorTokens)
{
    wire::RunUpdate update;
    update.mutable_accepted()->set_request_id(request.value());
    update.mutable_accepted()->set_attempt_id(m_attempt.value());
    update.mutable_accepted()->set_prior_completion_tokens(priorTokens);
    send(update);
}

void AnswerReader::pump(const AnswerBuffer &answers, const wire::Load &load, const std::function<void()> &onDrained)
{
    if (m_isFinished || m_isWaiting) {
        return;
    }
    const BufferedAnswer *answer = answers.find(m_attempt);
    if (answer == nullptr) {
        sendFailed(withUnknownOutcome(makeFailure(FailureCode::AnswerGone, "the answer is not kept any more")));
        return finish();
    }
    if (answer->head && !std::exchange(m_isHeadSent, true)) {
        wire::RunUpdate update;
        update.mutable_head()->set_status(answer->head->status);
        update.mutable_head()->set_content_type(answer->head->contentType);
        send(update);
    }
    if (m_isHeadSent && !sendBytes(answers, onDrained)) {
        return;
    }
    if (answer->end) {
        sendEnd(*answer->end, load);
        finish();
    }
}

// True when all the bytes that there are have gone out, and the end may follow.
bool AnswerReader::sendBytes(const AnswerBuffer &answers, const std::function<void()> &onDrained)
{
    for (;;) {
        const absl::StatusOr<std::string_view> bytes = answers.read(m_attempt, m_offset, kMaximumChunkBytes);
        if (!bytes.ok()) {
            sendFailed(withUnknownOutcome(bytes.status()));
            finish();
            return false;
        }
        if (bytes->empty()) {
            return true;
        }
        if (m_stream->queuedBytes() > kHighWaterBytes) {
            m_isWaiting = true;
            m_stream->whenDrained(kLowWaterBytes, onDrained);
            return false;
        }
        wire::RunUpdate update;
        update.mutable_chunk()->set_offset(m_offset);
        update.mutable_chunk()->set_data(bytes->data(), bytes->size());
        m_offset += bytes->size();
        send(update);
    }
}

void AnswerReader::sendEnd(const AnswerEnd &end, const wire::Load &load)
{
    wire::RunUpdate update;
    if (end.status.ok()) {
        update.mutable_done()->set_prompt_tokens(end.promptTokens);
        update.mutable_done()->set_completion_tokens(end.completionTokens);
        // The charge is on the portion of the attempt that ran. Told to another attempt's entry, it would be settled
        // against that one's reservation as well, and the request billed twice.
        update.mutable_done()->set_charged_tokens(m_askedAttempt == m_attempt ? end.chargedTokens : 0);
        *update.mutable_done()->mutable_load() = load;
    } else if (outcomeOf(end.status) == RunOutcome::NotRun) {
        *update.mutable_refused() = failureToWire(end.status);
    } else {
        *update.mutable_failed() = failureToWire(end.status);
    }
    send(update);
}

void AnswerReader::sendFailed(const absl::Status &status)
{
    wire::RunUpdate update;
    *update.mutable_failed() = failureToWire(status);
    send(update);
}

void AnswerReader::sendSilent(Duration silence)
{
    if (m_isFinished || m_isWaiting) {
        return;
    }
    wire::RunUpdate update;
    update.mutable_silent()->set_silent_ms(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
    send(update);
}

void AnswerReader::send(wire::RunUpdate &update)
{
    update.set_attempt_id(m_askedAttempt.value());
    m_stream->send(update.SerializeAsString());
}

void AnswerReader::finish()
{
    m_isFinished = true;
    m_stream->finish();
}

const AttemptId &AnswerReader::attempt() const
{
    return m_attempt;
}

bool AnswerReader::isFinished() const
{
    return m_isFinished;
}

void AnswerReader::noteDrained()
{
    m_isWaiting = false;
}

}
