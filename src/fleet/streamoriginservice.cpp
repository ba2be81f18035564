#include "streamoriginservice.h"

#include "log.h"
#include "streamoriginwire.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("origins");

}

StreamOriginService::StreamOriginService(Note note, Answer answer)
    : m_note(std::move(note))
    , m_answer(std::move(answer))
{
}

void StreamOriginService::serve(const MessageStreamPointer &stream)
{
    stream->start(
        [this, stream](const std::string &frame) {
            handle(stream, frame);
        },
        [](const absl::Status &) {});
}

void StreamOriginService::handle(const MessageStreamPointer &stream, const std::string &frame)
{
    const absl::StatusOr<wire::StreamOriginMessage> message = parseFrame<wire::StreamOriginMessage>(frame);
    if (!message.ok() || message->message_case() == wire::StreamOriginMessage::MESSAGE_NOT_SET) {
        kLog.warning("unreadable message of a peer");
        return stream->cancel();
    }
    if (message->has_question()) {
        wire::StreamOriginAnswer answer = toWire(m_answer(fromWire(message->question())));
        answer.set_number(message->question().number());
        return stream->send(answer.SerializeAsString());
    }
    for (const wire::StreamOriginRecord &record : message->records().records()) {
        m_note(fromWire(record));
    }
    if (const std::uint64_t number = message->records().number(); number != 0) {
        wire::StreamOriginAnswer answer;
        answer.set_number(number);
        stream->send(answer.SerializeAsString());
    }
}

}
