#pragma once

#include "answerreader.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <vector>

namespace RadishSwitch
{

/// Who reads which answer. Guarded by its owner.
class AnswerReaders
{
public:
    using ReaderPointer = std::shared_ptr<AnswerReader>;

    void add(const MessageStream *stream, ReaderPointer reader);

    /// The other side has ended the stream.
    void noteClosed(const MessageStream *stream, const absl::Status &status);

    /// Lets each reader of the answer send what there is; `pump` does it for one. Those that are finished are let go.
    void pumpAll(const AttemptId &attempt, const std::function<void(const ReaderPointer &)> &pump);

    /// Whether anybody reads the answer.
    bool hasReader(const AttemptId &attempt) const;

    /// No reader is left, and every stream has ended at the other side too.
    bool isEmpty() const;

private:
    void remove(const ReaderPointer &reader);

    absl::flat_hash_map<AttemptId, std::vector<ReaderPointer>> m_readers;
    /// By stream, until the other side has ended it.
    absl::flat_hash_map<const MessageStream *, ReaderPointer> m_attached;
};

}
