#include "answermemory.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

AnswerMemory::AnswerMemory(AnswerMemorySettings settings)
    : m_settings(settings)
{
}

bool AnswerMemory::resize(HeldAnswer &answer, std::size_t bytes)
{
    if (bytes > m_settings.maximumAnswerBytes) {
        return false;
    }
    if (answer.m_bytes == 0) {
        m_answers.push_back(&answer);
    }
    m_totalBytes += bytes - answer.m_bytes;
    answer.m_bytes = bytes;
    while (m_totalBytes > m_settings.maximumTotalBytes && !answer.m_isGivenUp) {
        longestIncomplete()->giveUp();
    }
    return !answer.m_isGivenUp;
}

void AnswerMemory::release(HeldAnswer &answer)
{
    if (answer.m_bytes > 0) {
        m_totalBytes -= std::exchange(answer.m_bytes, 0);
        std::erase(m_answers, &answer);
    }
}

// There is one: the answer that has just grown.
HeldAnswer *AnswerMemory::longestIncomplete() const
{
    return *std::ranges::max_element(m_answers, {}, [](const HeldAnswer *it) {
        return it->m_isComplete ? 0 : it->m_bytes;
    });
}

HeldAnswer::HeldAnswer(AnswerMemory &memory, std::function<void()> onGivenUp)
    : m_memory(memory)
    , m_onGivenUp(std::move(onGivenUp))
{
}

HeldAnswer::~HeldAnswer()
{
    m_memory.release(*this);
}

bool HeldAnswer::admits(std::size_t bytes)
{
    if (m_isGivenUp) {
        return false;
    }
    if (bytes <= AnswerMemory::kUncountedBytes) {
        m_memory.release(*this);
        return true;
    }
    return m_memory.resize(*this, bytes);
}

void HeldAnswer::giveUp()
{
    m_isGivenUp = true;
    m_memory.release(*this);
    m_onGivenUp();
}

}
