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
    , m_table(timers.now())
{
}

std::string StreamOrigins::shardOf(const RequestId &call) const
{
    return "stream-origins/" + std::to_string(rendezvousHash(call.value()) % m_settings.shards);
}

// The processes that keep a record of the stream, without this one. Which ones they are changes as processes come and
// go, so that more of them are asked than are told.
std::vector<std::string> StreamOrigins::reachableHolders(const RequestId &call) const
{
    std::vector<std::string> names = m_holders.candidates(shardOf(call), m_timers.now());
    std::erase(names, m_holders.self());
    return names;
}

// These don't depend on who can be reached, so that majorities of them overlap, whoever is cut off from whom.
std::vector<std::string> StreamOrigins::firstHolders(const RequestId &call) const
{
    return m_holders.ranked(shardOf(call), m_settings.holderHomes, m_settings.holderGateways);
}

bool StreamOrigins::mustRegister(const PoolId &pool, const SoftwareVersion &version) const
{
    const std::optional<SoftwareVersion> established = m_versions.established(pool);
    return established && *established != version && m_versions.hasSeveral(pool);
}

void StreamOrigins::registerStream(const RequestId &call, const OrganisationId &organisation, const PoolId &pool,
                                   RegisteredCallback callback)
{
    const StreamOriginRecord record{call, {organisation, pool, SoftwareVersion()}};
    const Instant now = m_timers.now();
    m_table.note(record, now);
    std::vector<std::string> names = firstHolders(call);
    const auto registration = std::make_shared<Registration>();
    registration->callback = std::move(callback);
    registration->needed = names.size() / 2 + 1 - std::erase(names, m_holders.self());
    std::erase_if(names, [&](const std::string &peer) {
        return !m_holders.mayBeAsked(peer, now);
    });
    registration->pending = names.size();
    for (const std::string &peer : names) {
        m_peers.keep(peer, record, m_settings.askTimeout, [this, registration, peer](const absl::Status &status) {
            handleKept(registration, peer, status);
        });
    }
    finishRegistration(*registration);
}

void StreamOrigins::handleKept(const RegistrationPointer &registration, const std::string &peer,
                               const absl::Status &status)
{
    --registration->pending;
    if (status.ok()) {
        m_holders.noteReached(peer);
        registration->needed -= registration->needed > 0 ? 1 : 0;
    } else {
        m_holders.noteUnreachable(peer, m_timers.now());
    }
    finishRegistration(*registration);
}

void StreamOrigins::finishRegistration(Registration &registration) const
{
    const bool isRegistered = registration.needed == 0;
    if (!registration.callback || (!isRegistered && registration.pending >= registration.needed)) {
        return;
    }
    const RegisteredCallback callback = std::exchange(registration.callback, nullptr);
    callback(isRegistered ? absl::OkStatus()
                          : makeFailure(FailureCode::StreamOriginUnknown,
                                        "the processes that keep the origin of the stream can't be reached",
                                        m_settings.retryAfter));
}

void StreamOrigins::note(const StreamOriginRecord &record)
{
    m_table.note(record, m_timers.now());
    if (!m_versions.hasSeveral(record.origin.pool)) {
        return;
    }
    std::vector<std::string> names = reachableHolders(record.call);
    names.resize(std::min(names.size(), m_settings.copies));
    for (const std::string &peer : names) {
        m_peers.tell(peer, {record});
    }
}

void StreamOrigins::publish(const PoolId &pool)
{
    std::map<std::string, std::vector<StreamOriginRecord>> recordsOfPeer;
    for (const StreamOriginRecord &record : m_table.ofPool(pool, m_timers.now())) {
        std::vector<std::string> names = reachableHolders(record.call);
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
    StreamOriginAnswer answer = m_table.answer(query, m_timers.now());
    answer.hasSeveralVersions = std::ranges::any_of(query.pools, [this](const PoolId &pool) {
        return m_versions.hasSeveral(pool);
    });
    answer.soleVersionAge = soleVersionAge(query.pools);
    return answer;
}

std::optional<Duration> StreamOrigins::soleVersionAge(const std::vector<PoolId> &pools) const
{
    const Duration announcementAge = m_announcementAge();
    std::optional<Duration> oldest = Duration::zero();
    for (const PoolId &pool : pools) {
        std::optional<Duration> age;
        if (!m_versions.isAnnounced(pool)) {
            age = announcementAge == Duration::max() ? std::nullopt : std::optional(announcementAge);
        } else if (const std::optional<Instant> until = m_versions.soleVersionUntil(pool)) {
            age = m_timers.nowWithSuspension() - *until;
        }
        oldest = oldest && age ? std::optional(std::max(*oldest, *age)) : std::nullopt;
    }
    return oldest;
}

void StreamOrigins::find(const StreamOriginQuery &query, Callback callback)
{
    const StreamOriginAnswer own = answer(query);
    if (own.origin) {
        return callback(FoundStreamOrigin{*own.origin, OriginEvidence::Record});
    }
    const auto search = std::make_shared<Search>();
    search->query = query;
    search->callback = std::move(callback);
    search->startedAt = m_timers.now();
    search->holders = firstHolders(query.call);
    noteAnswer(*search, m_holders.self(), own);
    if (canTellWithoutRecord(*search)) {
        return finish(search, originWithoutRecord(*search));
    }
    const std::vector<std::string> names = processesToAsk(*search);
    if (names.empty()) {
        return finish(search, whyUnknown(*search));
    }
    search->pending = names.size();
    search->asked = names.size();
    for (const std::string &peer : names) {
        m_peers.ask(peer, query, m_settings.askTimeout,
                    [this, search, peer](const absl::StatusOr<StreamOriginAnswer> &answer) {
                        handleAnswer(search, peer, answer);
                    });
    }
}

std::vector<std::string> StreamOrigins::processesToAsk(const Search &search) const
{
    std::vector<std::string> names = reachableHolders(search.query.call);
    for (const std::string &peer : search.holders) {
        const bool isNew = std::ranges::find(names, peer) == names.end() && peer != m_holders.self();
        if (isNew && m_holders.mayBeAsked(peer, m_timers.now())) {
            names.push_back(peer);
        }
    }
    return names;
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
        if (answer->origin) {
            return finish(search, FoundStreamOrigin{*answer->origin, OriginEvidence::Record});
        }
        noteAnswer(*search, peer, *answer);
    }
    if (canTellWithoutRecord(*search)) {
        return finish(search, originWithoutRecord(*search));
    }
    if (search->pending == 0) {
        finish(search, whyUnknown(*search));
    }
}

// What others tell of the past is counted from times that are certain: records are kept since the arrival of the answer
// less `keptFor`, or longer; the version was the only one until the start of the search less its age, or longer.
void StreamOrigins::noteAnswer(Search &search, const std::string &peer, const StreamOriginAnswer &answer) const
{
    search.hasSeveralVersions = search.hasSeveralVersions || answer.hasSeveralVersions;
    search.hasUnnamedRecord = search.hasUnnamedRecord || answer.hasUnnamedRecord;
    if (std::ranges::find(search.holders, peer) != search.holders.end()) {
        search.keptSince.push_back(m_timers.now() - answer.keptFor);
    }
    if (answer.soleVersionAge) {
        const Instant until = search.startedAt - *answer.soleVersionAge;
        search.soleVersionUntil = std::max(search.soleVersionUntil.value_or(until), until);
    }
}

void StreamOrigins::finish(const SearchPointer &search, const absl::StatusOr<FoundStreamOrigin> &origin)
{
    if (const Callback callback = std::exchange(search->callback, nullptr)) {
        callback(origin);
    }
}

// Whether it is certain that the stream was not registered: either no stream could be when this was last confirmed, or
// so many holders have no record that no majority can have one.
bool StreamOrigins::isWithoutRecord(const Search &search) const
{
    if (search.hasUnnamedRecord) {
        return false;
    }
    if (search.soleVersionUntil && m_timers.now() - *search.soleVersionUntil <= m_settings.maximumAge) {
        return true;
    }
    const std::size_t holders = search.holders.size();
    return !search.query.call.isEmpty() && countKept(search) >= holders - holders / 2;
}

// The holders that have every record which the stream could have.
std::size_t StreamOrigins::countKept(const Search &search) const
{
    const Instant longAgo = m_timers.now() - m_table.retention();
    const Instant mustBeKeptSince = std::max(search.soleVersionUntil.value_or(longAgo), longAgo);
    const auto kept = std::ranges::count_if(search.keptSince, [&](Instant since) {
        return since <= mustBeKeptSince;
    });
    return static_cast<std::size_t>(kept);
}

// Among several pools it is not known in which one an unregistered stream began.
bool StreamOrigins::canTellWithoutRecord(const Search &search) const
{
    const std::vector<PoolId> &pools = search.query.pools;
    const bool isKnown =
        !search.hasSeveralVersions || (pools.size() == 1 && m_versions.established(pools.front()).has_value());
    return isKnown && isWithoutRecord(search);
}

absl::StatusOr<FoundStreamOrigin> StreamOrigins::originWithoutRecord(const Search &search) const
{
    const StreamOriginQuery &query = search.query;
    const PoolId pool = query.pools.empty() ? PoolId() : query.pools.front();
    if (search.hasSeveralVersions) {
        const SoftwareVersion version = m_versions.established(pool).value_or(SoftwareVersion());
        return FoundStreamOrigin{{query.organisation, pool, version}, OriginEvidence::EstablishedVersion};
    }
    const std::optional<SoftwareVersion> version = m_versions.onlyVersion(pool);
    if (!version) {
        return makeFailure(FailureCode::NoEndpoint, "no endpoint of pool " + pool.value() + " is known",
                           m_settings.retryAfter);
    }
    return FoundStreamOrigin{{query.organisation, pool, *version}, OriginEvidence::OnlyVersion};
}

absl::Status StreamOrigins::whyUnknown(const Search &search) const
{
    if (search.hasUnnamedRecord) {
        return makeFailure(FailureCode::StreamOriginUnknown, "it is not known yet at which version the stream began",
                           m_settings.retryAfter);
    }
    const std::string answers = std::to_string(search.answered) + " of " + std::to_string(search.asked)
        + " processes answered, none has a record; " + std::to_string(countKept(search)) + " of "
        + std::to_string(search.holders.size()) + " holders have kept theirs for long enough";
    if (search.answered < search.asked) {
        return makeFailure(FailureCode::StreamOriginUnknown,
                           "the processes that know at which version the stream began can't be reached: " + answers,
                           m_settings.retryAfter);
    }
    return makeFailure(FailureCode::StreamOriginUnknown,
                       "it is not known at which version the stream began: " + answers);
}

}
