#pragma once

#include "messagestream.h"
#include "requests/answerbuffer.h"
#include "wire.h"

#include <cstdint>
#include <functional>

namespace RadishSwitch
{

/// Sends one run's answer on one stream, at the pace of whoever reads there.
///
/// It reads from the buffer and keeps no bytes of its own: a reader that is slow, or never reads, holds back neither
/// the run nor the other readers. Guarded by its owner's mutex; `MessageStream` calls nothing back in place.
class AnswerReader
{
public:
    /// Sends the answer of `attempt` from `offset` on. Frames name `askedAttempt`, by which the other side knows its
    /// own stream. They differ when the request ran already under another attempt; then the asked one is charged zero.
    AnswerReader(MessageStreamPointer stream, AttemptId attempt, AttemptId askedAttempt, std::uint64_t offset);

    /// Tells which attempt's answer follows.
    void sendAccepted(const RequestId &request, std::int64_t priorTokens);

    /// Sends what there is as far as the stream takes it. `onDrained` is called later, outside, when it is worth
    /// another try.
    void pump(const AnswerBuffer &answers, const wire::Load &load, const std::function<void()> &onDrained);

    /// Tells that nothing came from the endpoint for so long. Not told while the stream still has to take what is
    /// there.
    void sendSilent(Duration silence);

    const AttemptId &attempt() const;

    /// Whether everything has been handed to the stream, the end included.
    bool isFinished() const;

    /// Called with the callback given to `pump`, before the next `pump`.
    void noteDrained();

private:
    bool sendBytes(const AnswerBuffer &answers, const std::function<void()> &onDrained);
    void sendEnd(const AnswerEnd &end, const wire::Load &load);
    void sendFailed(const absl::Status &status);
    void send(wire::RunUpdate &update);
    void finish();

    MessageStreamPointer m_stream;
    AttemptId m_attempt;
    AttemptId m_askedAttempt;
    std::uint64_t m_offset;
    bool m_isHeadSent = false;
    bool m_isWaiting = false;
    bool m_isFinished = false;
};

}
