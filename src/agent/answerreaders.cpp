#include "answerreaders.h"

#include <utility>

namespace RadishSwitch
{

void AnswerReaders::add(const MessageStream *stream, ReaderPointer reader)
{
    m_attached[stream] = reader;
    m_readers[reader->attempt()].push_back(std::move(reader));
}

void AnswerReaders::noteClosed(const MessageStream *stream, const absl::Status &status)
{
    const auto it = m_attached.find(stream);
    if (it == m_attached.end()) {
        return;
    }
    const ReaderPointer reader = std::move(it->second);
    m_attached.erase(it);
    // An other side that ends in order only asks no more: it goes on reading until the answer's end.
    if (!status.ok() || reader->isFinished()) {
        remove(reader);
    }
}

void AnswerReaders::remove(const ReaderPointer &reader)
{
    const auto it = m_readers.find(reader->attempt());
    if (it == m_readers.end()) {
        return;
    }
    std::erase(it->second, reader);
    if (it->second.empty()) {
        m_readers.erase(it);
    }
}

void AnswerReaders::pumpAll(const AttemptId &attempt, const std::function<void(const ReaderPointer &)> &pump)
{
    const auto it = m_readers.find(attempt);
    if (it == m_readers.end()) {
        return;
    }
    for (const ReaderPointer &reader : it->second) {
        pump(reader);
    }
    std::erase_if(it->second, [](const ReaderPointer &reader) {
        return reader->isFinished();
    });
    if (it->second.empty()) {
        m_readers.erase(it);
    }
}

bool AnswerReaders::hasReader(const AttemptId &attempt) const
{
    return m_readers.contains(attempt);
}

bool AnswerReaders::isEmpty() const
{
    return m_readers.empty() && m_attached.empty();
}

}
