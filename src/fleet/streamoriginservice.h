#pragma once

#include "messagestream.h"
#include "serving/streamoriginport.h"

#include <functional>

namespace RadishSwitch
{

/// Serves the records and questions about origins of streams that gateways send to this process.
class StreamOriginService
{
public:
    using Note = std::function<void(const StreamOriginRecord &record)>;
    using Answer = std::function<StreamOriginAnswer(const StreamOriginQuery &query)>;

    StreamOriginService(Note note, Answer answer);

    /// Serves a stream that a gateway has opened.
    void serve(const MessageStreamPointer &stream);

private:
    void handle(const MessageStreamPointer &stream, const std::string &frame);

    const Note m_note;
    const Answer m_answer;
};

}
