#include "watchpeers.h"

#include "log.h"
#include "unarycall.h"
#include "wire.h"
#include "wireconversion.h"

#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("watch");

wire::WatchAnswer answerToWire(const absl::StatusOr<StoreChanges> &changes)
{
    wire::WatchAnswer answer;
    if (!changes.ok()) {
        *answer.mutable_failed() = failureToWire(changes.status());
        return answer;
    }
    answer.set_next_version(changes->nextVersion);
    for (const StoredObject &object : changes->objects) {
        wire::WatchedObject &watched = *answer.add_objects();
        watched.set_key(object.key);
        watched.set_value(object.value);
        watched.set_version(object.version);
    }
    return answer;
}

absl::StatusOr<StoreChanges> answerFromWire(const absl::StatusOr<std::string> &frame)
{
    if (!frame.ok()) {
        return frame.status();
    }
    const absl::StatusOr<wire::WatchAnswer> answer = parseFrame<wire::WatchAnswer>(*frame);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->has_failed()) {
        return failureFromWire(answer->failed());
    }
    StoreChanges changes;
    changes.nextVersion = answer->next_version();
    for (const wire::WatchedObject &object : answer->objects()) {
        changes.objects.push_back({object.key(), object.value(), object.version()});
    }
    return changes;
}

}

void serveFromStore(ObjectStore &store, const MessageStreamPointer &stream)
{
    stream->start(
        [&store, stream](const std::string &frame) {
            const absl::StatusOr<wire::WatchQuestion> question = parseFrame<wire::WatchQuestion>(frame);
            if (!question.ok() || question->prefix().empty()) {
                kLog.warning("a peer's question can't be read");
                return stream->cancel();
            }
            const auto answer = [stream](const absl::StatusOr<StoreChanges> &changes) {
                stream->send(answerToWire(changes).SerializeAsString());
                stream->finish();
            };
            question->from_version() == 0 ? store.list(question->prefix(), answer)
                                          : store.watch(question->prefix(), question->from_version(), answer);
        },
        [](const absl::Status &) {});
}

WatchPeers::WatchPeers(MessageClients &clients, const HomeDirectory &homes, TimerService &timers)
    : m_clients(clients)
    , m_homes(homes)
    , m_timers(timers)
{
}

void WatchPeers::watch(const std::string &peer, const std::string &prefix, std::uint64_t fromVersion, Duration timeout,
                       ObjectStore::Callback<StoreChanges> callback)
{
    wire::WatchQuestion question;
    question.set_prefix(prefix);
    question.set_from_version(fromVersion);
    unaryCall(*m_clients.client(m_homes.addressOf(peer)), m_timers, kWatchPath, question.SerializeAsString(), timeout,
              [callback = std::move(callback)](const absl::StatusOr<std::string> &frame) {
                  callback(answerFromWire(frame));
              });
}

WatchLog &WatchPeers::log(const std::string &prefix)
{
    return m_logs[prefix];
}

void WatchPeers::serve(const MessageStreamPointer &stream)
{
    stream->start(
        [this, stream](const std::string &frame) {
            answer(stream, frame);
        },
        [](const absl::Status &) {});
}

void WatchPeers::answer(const MessageStreamPointer &stream, const std::string &frame)
{
    const absl::StatusOr<wire::WatchQuestion> question = parseFrame<wire::WatchQuestion>(frame);
    const auto log = question.ok() ? m_logs.find(question->prefix()) : m_logs.end();
    if (log == m_logs.end()) {
        return stream->cancel();
    }
    log->second.watch(question->from_version(), [stream](const absl::StatusOr<StoreChanges> &changes) {
        stream->send(answerToWire(changes).SerializeAsString());
        stream->finish();
    });
}

}
