#include "streamoriginpeers.h"

#include "base/failure.h"
#include "streamoriginwire.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

StreamOriginPeers::StreamOriginPeers(MessageClients &clients, HomeDirectory &holders, TimerService &timers)
    : m_clients(clients)
    , m_holders(holders)
    , m_timers(timers)
{
}

StreamOriginPeers::~StreamOriginPeers()
{
    for (auto &[peer, link] : m_links) {
        for (auto &[number, pending] : link.pending) {
            m_timers.cancel(pending.timer);
        }
    }
}

void StreamOriginPeers::tell(const std::string &peer, const std::vector<StreamOriginRecord> &records)
{
    wire::StreamOriginMessage message;
    for (const StreamOriginRecord &record : records) {
        *message.mutable_records()->add_records() = toWire(record);
    }
    (void)send(peer, message.SerializeAsString());
}

void StreamOriginPeers::keep(const std::string &peer, const StreamOriginRecord &record, Duration timeout,
                             KeptCallback callback)
{
    const std::uint64_t number = ++m_lastNumber;
    wire::StreamOriginMessage message;
    *message.mutable_records()->add_records() = toWire(record);
    message.mutable_records()->set_number(number);
    sendNumbered(peer, number, message.SerializeAsString(), timeout,
                 [callback = std::move(callback)](const absl::StatusOr<StreamOriginAnswer> &answer) {
                     callback(answer.status());
                 });
}

void StreamOriginPeers::ask(const std::string &peer, const StreamOriginQuery &query, Duration timeout,
                            Callback callback)
{
    const std::uint64_t number = ++m_lastNumber;
    wire::StreamOriginMessage message;
    *message.mutable_question() = toWire(query);
    message.mutable_question()->set_number(number);
    sendNumbered(peer, number, message.SerializeAsString(), timeout, std::move(callback));
}

void StreamOriginPeers::sendNumbered(const std::string &peer, std::uint64_t number, std::string frame, Duration timeout,
                                     Callback callback)
{
    const TimerId timer = m_timers.after(timeout, [this, peer, number] {
        finish(peer, number, makeFailure(FailureCode::ConnectionSilent, "peer " + peer + " is silent"));
    });
    m_links[peer].pending[number] = Pending{std::move(callback), timer};
    if (!send(peer, std::move(frame))) {
        finish(peer, number, makeFailure(FailureCode::ConnectionLost, "no address is known of peer " + peer));
    }
}

bool StreamOriginPeers::send(const std::string &peer, std::string frame)
{
    Link &link = m_links[peer];
    if (link.stream) {
        link.stream->send(std::move(frame));
        return true;
    }
    const std::string address = m_holders.addressOf(peer);
    if (address.empty()) {
        return false;
    }
    const MessageStreamPointer stream = m_clients.client(address)->open(kStreamOriginPath, std::move(frame));
    link.stream = stream;
    const std::weak_ptr<int> alive = m_alive;
    stream->start(
        [this, alive, peer](const std::string &answer) {
            if (!alive.expired()) {
                handleAnswer(peer, answer);
            }
        },
        [this, alive, peer, closed = stream.get()](const absl::Status &status) {
            if (!alive.expired()) {
                handleClosed(peer, closed, status);
            }
        });
    return true;
}

void StreamOriginPeers::handleAnswer(const std::string &peer, const std::string &frame)
{
    const absl::StatusOr<wire::StreamOriginAnswer> answer = parseFrame<wire::StreamOriginAnswer>(frame);
    if (!answer.ok()) {
        if (const MessageStreamPointer stream = m_links[peer].stream) {
            stream->cancel();
        }
        return;
    }
    finish(peer, answer->number(), fromWire(*answer));
}

// A process of an older version closes the stream at once, since it does not know the path. It counts as unreachable
// and the next process of the ranking takes its place.
void StreamOriginPeers::handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status)
{
    Link &link = m_links[peer];
    if (link.stream.get() != stream) {
        return;
    }
    link.stream.reset();
    m_holders.noteUnreachable(peer, m_timers.now());
    const std::map<std::uint64_t, Pending> pending = std::exchange(link.pending, {});
    for (const auto &[number, it] : pending) {
        m_timers.cancel(it.timer);
        it.callback(makeFailure(FailureCode::ConnectionLost, std::string(status.message())));
    }
}

void StreamOriginPeers::finish(const std::string &peer, std::uint64_t number,
                               const absl::StatusOr<StreamOriginAnswer> &answer)
{
    auto node = m_links[peer].pending.extract(number);
    if (node.empty()) {
        return;
    }
    m_timers.cancel(node.mapped().timer);
    node.mapped().callback(answer);
}

}
