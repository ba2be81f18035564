#include "requests/answerbuffer.h"

#include "base/failure.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr std::chrono::milliseconds kRetryWhenFull(1000);

}

AnswerBuffer::AnswerBuffer(const TimerService &timers, AnswerBufferSettings settings)
    : m_timers(timers)
    , m_settings(settings)
{
}

absl::Status AnswerBuffer::open(const AttemptId &attempt)
{
    if (m_totalBytes >= m_settings.maximumBytes && m_finished.empty()) {
        return makeFailure(FailureCode::Overloaded, "running answers fill the agent's answer buffer", kRetryWhenFull);
    }
    m_answers.try_emplace(attempt);
    return absl::OkStatus();
}

void AnswerBuffer::setHead(const AttemptId &attempt, AnswerHead head)
{
    const auto it = m_answers.find(attempt);
    if (it != m_answers.end()) {
        it->second.head = std::move(head);
    }
}

absl::Status AnswerBuffer::append(const AttemptId &attempt, std::string_view bytes)
{
    const auto it = m_answers.find(attempt);
    if (it == m_answers.end() || it->second.end) {
        return makeFailure(FailureCode::RunUnknown, "no answer is being written under this attempt");
    }
    if (it->second.bytes.size() + bytes.size() > m_settings.maximumAnswerBytes) {
        return makeFailure(FailureCode::MessageTooLarge,
                           "the answer exceeds the size limit of the agent's answer buffer");
    }
    it->second.bytes.append(bytes);
    m_totalBytes += bytes.size();
    evictToFit();
    return absl::OkStatus();
}

void AnswerBuffer::finish(const AttemptId &attempt, AnswerEnd end)
{
    const auto it = m_answers.find(attempt);
    if (it == m_answers.end() || it->second.end) {
        return;
    }
    it->second.end = std::move(end);
    it->second.bytes.shrink_to_fit();
    m_finished.push_back({m_timers.now(), attempt});
    evictToFit();
}

void AnswerBuffer::noteFetched(const AttemptId &attempt)
{
    const auto it = m_answers.find(attempt);
    if (it != m_answers.end()) {
        it->second.isFetched = true;
    }
}

const BufferedAnswer *AnswerBuffer::find(const AttemptId &attempt) const
{
    const auto it = m_answers.find(attempt);
    return it == m_answers.end() ? nullptr : &it->second;
}

absl::StatusOr<std::string_view> AnswerBuffer::read(const AttemptId &attempt, std::uint64_t offset,
                                                    std::size_t limit) const
{
    const BufferedAnswer *answer = find(attempt);
    if (answer == nullptr) {
        return withUnknownOutcome(makeFailure(FailureCode::AnswerGone, "the answer is not kept any more"));
    }
    if (offset > answer->bytes.size()) {
        return makeFailure(FailureCode::InvalidRequest, "the offset is past the end of the answer");
    }
    return std::string_view(answer->bytes).substr(offset, limit);
}

void AnswerBuffer::expire()
{
    while (!m_finished.empty() && m_timers.now() - m_finished.front().at >= m_settings.retention) {
        evictOldest();
    }
}

std::vector<AttemptId> AnswerBuffer::takeEvicted()
{
    return std::exchange(m_evicted, {});
}

bool AnswerBuffer::hasUnfetchedSince(Duration span) const
{
    const Instant now = m_timers.now();
    return std::ranges::any_of(m_finished, [&](const Finished &finished) {
        return now - finished.at < span && !m_answers.at(finished.attempt).isFetched;
    });
}

std::size_t AnswerBuffer::totalBytes() const
{
    return m_totalBytes;
}

void AnswerBuffer::evictToFit()
{
    while (m_totalBytes > m_settings.maximumBytes && !m_finished.empty()) {
        evictOldest();
    }
}

void AnswerBuffer::evictOldest()
{
    const AttemptId attempt = std::move(m_finished.front().attempt);
    m_finished.pop_front();
    const auto it = m_answers.find(attempt);
    m_totalBytes -= it->second.bytes.size();
    m_answers.erase(it);
    m_evicted.push_back(attempt);
}

}
