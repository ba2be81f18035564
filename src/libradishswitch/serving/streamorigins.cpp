#include "serving/streamorigins.h"

#include "base/failure.h"
#include "base/rendezvous.h"

#include <algorithm>
#include <map>
#include <utility>

namespace RadishSwitch
{

StreamOrigins::StreamOrigins(HomeDirectory &holders, StreamOriginPort &peers, const PoolVersions &versions,
                             TimerService &timers, std::function<Duration()> announcementAge,
                             StreamOriginsSettings settings)
    : m_holders(holders)
    , m_peers(peers)
    , m_versions(versions)
    , m_timers(timers)
    , m_announcementAge(std::move(announcementAge))
    , m_settings(settings)
{
}

// The processes that keep a record of the stream, without this one. Which ones they are changes as processes come and
// go, so that more of them are asked than are told.
std::vector<std::string> StreamOrigins::holders(const RequestId &call) const
{
    const std::string key = "stream-origins/" + std::to_string(rendezvousHash(call.value()) % m_settings.shards);
    std::vector<std::string> names = m_holders.candidates(key, m_timers.now());
    std::erase(names, m_holders.self());
    return names;
}

void StreamOrigins::note(const StreamOriginRecord &record)
{
    m_table.note(record, m_timers.now());
    if (!m_versions.hasSeveral(record.origin.pool)) {
        return;
    }
    std::vector<std::string> names = holders(record.call);
    names.resize(std::min(names.size(), m_settings.copies));
    for (const std::string &peer : names) {
        m_peers.tell(peer, {record});
    }
}

void StreamOrigins::publish(const PoolId &pool)
{
    std::map<std::string, std::vector<StreamOriginRecord>> recordsOfPeer;
    for (const StreamOriginRecord &record : m_table.ofPool(pool, m_timers.now())) {
        std::vector<std::string> names = holders(record.call);
        names.resize(std::min(names.size(), m_settings.copies));
        for (const std::string &peer : names) {
            recordsOfPeer[peer].push_back(record);
        }
    }
    for (const auto &[peer, records] : recordsOfPeer) {
        m_peers.tell(peer, records);
    }
}

StreamOriginAnswer StreamOrigins::answer(const StreamOriginQuery &query) const
{
    StreamOriginAnswer answer;
    const std::optional<StreamOrigin> origin = m_table.find(query.call);
    if (origin && origin->organisation == query.organisation) {
        answer.origin = origin;
    }
    answer.hasSeveralVersions = std::ranges::any_of(query.pools, [this](const PoolId &pool) {
        return m_versions.hasSeveral(pool);
    });
    return answer;
}

void StreamOrigins::find(const StreamOriginQuery &query, Callback callback)
{
    const StreamOriginAnswer own = answer(query);
    if (own.origin) {
        return callback(*own.origin);
    }
    if (!own.hasSeveralVersions && m_announcementAge() <= m_settings.maximumAge) {
        return callback(onlyOrigin(query));
    }
    const std::vector<std::string> names = holders(query.call);
    const auto search = std::make_shared<Search>();
    search->query = query;
    search->callback = std::move(callback);
    search->pending = names.size();
    search->asked = names.size();
    search->hasSeveralVersions = own.hasSeveralVersions;
    if (names.empty()) {
        return finish(search, originWithoutRecord(*search));
    }
    for (const std::string &peer : names) {
        m_peers.ask(peer, query, m_settings.askTimeout,
                    [this, search, peer](const absl::StatusOr<StreamOriginAnswer> &answer) {
                        handleAnswer(search, peer, answer);
                    });
    }
}

void StreamOrigins::handleAnswer(const SearchPointer &search, const std::string &peer,
                                 const absl::StatusOr<StreamOriginAnswer> &answer)
{
    --search->pending;
    if (!answer.ok()) {
        m_holders.noteUnreachable(peer, m_timers.now());
    } else {
        m_holders.noteReached(peer);
        ++search->answered;
        search->hasSeveralVersions = search->hasSeveralVersions || answer->hasSeveralVersions;
        if (answer->origin) {
            return finish(search, *answer->origin);
        }
    }
    if (search->pending == 0) {
        finish(search, originWithoutRecord(*search));
    }
}

void StreamOrigins::finish(const SearchPointer &search, const absl::StatusOr<StreamOrigin> &origin)
{
    if (const Callback callback = std::exchange(search->callback, nullptr)) {
        callback(origin);
    }
}

absl::StatusOr<StreamOrigin> StreamOrigins::originWithoutRecord(const Search &search) const
{
    const std::string answers = std::to_string(search.answered) + " of " + std::to_string(search.asked)
        + " processes answered, none has a record";
    if (search.answered < search.asked && (search.hasSeveralVersions || search.answered == 0)) {
        return makeFailure(FailureCode::StreamOriginUnknown,
                           "the processes that know at which version the stream began can't be reached: " + answers,
                           m_settings.retryAfter);
    }
    if (search.hasSeveralVersions) {
        return makeFailure(FailureCode::StreamOriginUnknown,
                           "it is not known at which version the stream began: " + answers);
    }
    return onlyOrigin(search.query);
}

absl::StatusOr<StreamOrigin> StreamOrigins::onlyOrigin(const StreamOriginQuery &query) const
{
    const PoolId pool = query.pools.empty() ? PoolId() : query.pools.front();
    const std::optional<SoftwareVersion> version = m_versions.onlyVersion(pool);
    if (!version) {
        return makeFailure(FailureCode::NoEndpoint, "no endpoint of pool " + pool.value() + " is known",
                           m_settings.retryAfter);
    }
    return StreamOrigin{query.organisation, pool, *version};
}

}
