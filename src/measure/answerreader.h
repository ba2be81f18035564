#pragma once

#include "call.h"
#include "tryrecord.h"

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Reads the answer to a call as it comes, and judges it.
class AnswerReader
{
public:
    explicit AnswerReader(const Call &call);

    /// Takes the next bytes of a stream of events. True when they brought text of the answer.
    bool addEvents(std::string_view data);

    /// Judges what came. `isWholeBody` tells whether the body ended in order; fills in outcome, usage and error of the
    /// record.
    void judgeStream(bool isWholeBody, TryRecord &record) const;
    void judgeBody(const std::string &body, TryRecord &record) const;

    /// Reads an error answer's code and what it says about the run.
    static void readError(const std::string &body, TryRecord &record);

private:
    bool readEvent(std::string_view data);
    void judgeUsage(std::int64_t promptTokens, std::int64_t completionTokens, TryRecord &record) const;
    TryOutcome outcomeOfText(const std::string &text, bool isEnded) const;

    const Call &m_call;
    std::string m_pending;
    std::string m_text;
    std::string m_error;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_completionTokens = 0;
    bool m_isDone = false;
    bool m_isMalformed = false;
};

}
