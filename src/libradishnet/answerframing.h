#pragma once

#include <string_view>

namespace RadishSwitch
{

/// What tells where the body of an answer ends.
enum class AnswerFraming {
    /// Its length, or that it has no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which the end of the other process brings about as well.
    Connection,
};

/// The name of a framing in logs, such as "chunks". Stable.
constexpr std::string_view answerFramingName(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        return "connection";
    case AnswerFraming::Length:
        break;
    }
    return "length";
}

}
