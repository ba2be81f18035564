#pragma once

#include "bodylimit.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace RadishSwitch
{

struct AnswerMemorySettings {
    /// Maximum bytes of one answer that is held until it is complete.
    std::size_t maximumAnswerBytes = 8 * 1024 * 1024;
    /// Maximum bytes of all such answers together.
    std::size_t maximumTotalBytes = 32 * 1024 * 1024;
};

class HeldAnswer;

/// Bounds the memory of the answers that are held until they are complete, and of incomplete events of streams.
///
/// If there is no room for all of them, the longest incomplete one is given up: an answer without end becomes the
/// longest sooner or later, and ordinary ones are not given up for it. Used on one worker only.
class AnswerMemory
{
public:
    /// Shorter answers are not counted. They take little, and most answers are shorter.
    static constexpr std::size_t kUncountedBytes = 16 * 1024;

    explicit AnswerMemory(AnswerMemorySettings settings = {});

    std::size_t maximumAnswerBytes() const
    {
        return m_settings.maximumAnswerBytes;
    }

    std::size_t totalBytes() const
    {
        return m_totalBytes;
    }

private:
    friend class HeldAnswer;

    bool resize(HeldAnswer &answer, std::size_t bytes);
    void release(HeldAnswer &answer);
    HeldAnswer *longestIncomplete() const;

    const AnswerMemorySettings m_settings;
    std::size_t m_totalBytes = 0;
    /// The answers that are counted.
    std::vector<HeldAnswer *> m_answers;
};

/// The part of the memory that one answer takes, until it is destroyed.
class HeldAnswer : public BodyLimit
{
public:
    /// `onGivenUp` is called when the answer has to give way to others.
    HeldAnswer(AnswerMemory &memory, std::function<void()> onGivenUp);
    ~HeldAnswer() override;

    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    /// Whether the answer may take so many bytes now; false for good once it was given up.
    bool admits(std::size_t bytes) override;

    /// Called when the answer is complete and is kept until its caller has it.
    void complete()
    {
        m_isComplete = true;
    }

    bool isGivenUp() const
    {
        return m_isGivenUp;
    }

private:
    friend class AnswerMemory;

    void giveUp();

    AnswerMemory &m_memory;
    const std::function<void()> m_onGivenUp;
    std::size_t m_bytes = 0;
    bool m_isComplete = false;
    bool m_isGivenUp = false;
};

}
