#include "requests/claimbook.h"

#include "base/failure.h"

#include <cstdio>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Another writer of the same object means two that believe to own its shard; one of them is about to learn better.
constexpr int kWriteTries = 5;

}

ClaimBook::ClaimBook(ObjectStore &store, TimerService &timers, RandomSource &random, ClaimBookSettings settings)
    : m_store(store)
    , m_timers(timers)
    , m_random(random)
    , m_settings(settings)
{
}

ClaimBook::~ClaimBook()
{
    for (const auto &[shard, book] : m_books) {
        m_timers.cancel(book.noteTimer);
    }
}

std::string ClaimBook::objectKey(std::uint32_t shard)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "claims/%04u", shard);
    return buf;
}

void ClaimBook::find(std::uint32_t shard, const RequestId &request, FindCallback callback)
{
    Book &book = m_books[shard];
    const std::optional<Claim> claim = standingClaim(book, request);
    const bool isClaimed = claim && claim->state == ClaimState::Claimed;
    if (book.isLoaded && !isClaimed) {
        return callback(claim);
    }
    // How a claim of an earlier owner ended may have been written since.
    book.finds.push_back({request, std::move(callback)});
    startRound(shard);
}

void ClaimBook::claim(std::uint32_t shard, Claim claim, ClaimCallback callback)
{
    claim.wallTime = m_timers.wallClockMilliseconds();
    m_books[shard].pending.push_back({std::move(claim), std::move(callback)});
    startRound(shard);
}

void ClaimBook::note(std::uint32_t shard, const RequestId &request, const AttemptId &attempt, ClaimState state)
{
    m_books[shard].notes[request] = {attempt, state};
    scheduleNotes(shard, m_settings.noteDelay);
}

bool ClaimBook::hasUnwrittenNotes() const
{
    for (const auto &[shard, book] : m_books) {
        if (!book.notes.empty() || !book.roundNotes.empty()) {
            return true;
        }
    }
    return false;
}

void ClaimBook::scheduleNotes(std::uint32_t shard, Duration delay)
{
    Book &book = m_books[shard];
    if (book.noteTimer != 0) {
        return;
    }
    book.noteTimer = m_timers.after(delay, m_life.guard([this, shard] {
        m_books[shard].noteTimer = 0;
        startRound(shard);
    }));
}

void ClaimBook::startRound(std::uint32_t shard)
{
    Book &book = m_books[shard];
    if (book.isBusy || (book.finds.empty() && book.pending.empty() && book.notes.empty())) {
        return;
    }
    book.isBusy = true;
    book.triesLeft = kWriteTries;
    book.isWriteUncertain = false;
    book.isLoaded = book.isLoaded && book.finds.empty();
    book.round = std::exchange(book.pending, {});
    book.roundNotes = std::exchange(book.notes, {});
    proceed(shard);
}

void ClaimBook::proceed(std::uint32_t shard)
{
    if (m_books[shard].isLoaded) {
        return write(shard);
    }
    m_store.get(objectKey(shard), m_life.guard([this, shard](const auto &object) {
        finishRead(shard, object);
    }));
}

void ClaimBook::finishRead(std::uint32_t shard, const absl::StatusOr<StoredObject> &object)
{
    Book &book = m_books[shard];
    const bool isMissing = !object.ok() && failureCode(object.status()) == FailureCode::ObjectMissing;
    if (!object.ok() && !isMissing) {
        return fail(shard, object.status());
    }
    const auto claims = isMissing ? std::vector<Claim>() : decodeClaims(object->value);
    if (!claims.ok()) {
        return fail(shard, claims.status());
    }
    book.claims.clear();
    for (const Claim &claim : *claims) {
        book.claims[claim.request] = claim;
    }
    book.version = isMissing ? 0 : object->version;
    book.isLoaded = true;
    write(shard);
}

ClaimBook::Claims ClaimBook::withRound(const Book &book) const
{
    Claims next = book.claims;
    const std::int64_t oldest = m_timers.wallClockMilliseconds() - m_settings.expiry.count();
    std::erase_if(next, [oldest](const auto &item) {
        return item.second.wallTime < oldest;
    });
    for (const auto &[request, note] : book.roundNotes) {
        const auto it = next.find(request);
        if (it != next.end() && it->second.attempt == note.attempt) {
            it->second.state = note.state;
        }
    }
    for (const PendingClaim &pending : book.round) {
        const auto it = next.find(pending.claim.request);
        if (it != next.end() && it->second.state == ClaimState::NotRun) {
            it->second = pending.claim;
        } else if (it == next.end() && next.size() < m_settings.maximum) {
            next.emplace(pending.claim.request, pending.claim);
        }
    }
    return next;
}

void ClaimBook::write(std::uint32_t shard)
{
    Book &book = m_books[shard];
    answerFinds(book);
    Claims next = withRound(book);
    const bool isWanted = !book.round.empty() || !book.roundNotes.empty();
    if (!isWanted || next == book.claims) {
        return succeed(shard);
    }
    std::vector<Claim> list;
    for (const auto &[request, claim] : next) {
        list.push_back(claim);
    }
    m_store.put(objectKey(shard), encodeClaims(list), book.version,
                m_life.guard([this, shard, next = std::move(next)](const auto &version) {
                    finishWrite(shard, next, version);
                }));
}

void ClaimBook::finishWrite(std::uint32_t shard, const Claims &written, const absl::StatusOr<std::uint64_t> &version)
{
    Book &book = m_books[shard];
    if (version.ok()) {
        book.claims = written;
        book.version = *version;
        return succeed(shard);
    }
    book.isLoaded = false;
    const FailureCode code = failureCode(version.status());
    if (code == FailureCode::StoreTimeout) {
        book.isWriteUncertain = true;
    }
    const bool isWorthATry = code == FailureCode::StoreTimeout || code == FailureCode::VersionConflict;
    if (!isWorthATry || --book.triesLeft == 0) {
        return fail(shard, version.status());
    }
    // Reading back tells a lost answer from a lost race: own claims are known by their attempts.
    proceed(shard);
}

void ClaimBook::answerFinds(Book &book)
{
    for (const Find &find : std::exchange(book.finds, {})) {
        find.callback(standingClaim(book, find.request));
    }
}

/// As the store has it, with what this book has noted and not written yet.
std::optional<Claim> ClaimBook::standingClaim(const Book &book, const RequestId &request)
{
    const auto it = book.claims.find(request);
    if (it == book.claims.end()) {
        return std::nullopt;
    }
    Claim claim = it->second;
    for (const auto *notes : {&book.roundNotes, &book.notes}) {
        const auto note = notes->find(request);
        if (note != notes->end() && note->second.attempt == claim.attempt) {
            claim.state = note->second.state;
        }
    }
    return claim;
}

void ClaimBook::succeed(std::uint32_t shard)
{
    Book &book = m_books[shard];
    book.isBusy = false;
    book.backoff.reset();
    book.roundNotes.clear();
    const auto round = std::exchange(book.round, {});
    for (const PendingClaim &pending : round) {
        const auto it = book.claims.find(pending.claim.request);
        if (it == book.claims.end()) {
            pending.callback(
                makeFailure(FailureCode::Overloaded, "too many claims in the key shard", m_settings.retryAfter));
            continue;
        }
        pending.callback(it->second);
    }
    startNextRound(shard);
}

void ClaimBook::fail(std::uint32_t shard, const absl::Status &status)
{
    Book &book = m_books[shard];
    book.isBusy = false;
    // A later note of the same request stands.
    book.notes.merge(std::exchange(book.roundNotes, {}));
    const auto round = std::exchange(book.round, {});
    const auto finds = std::exchange(book.finds, {});
    for (const PendingClaim &pending : round) {
        if (book.isWriteUncertain) {
            book.notes[pending.claim.request] = {pending.claim.attempt, ClaimState::NotRun};
        }
    }
    if (!book.notes.empty()) {
        if (!book.backoff) {
            book.backoff.emplace(m_settings.firstBackoff, m_settings.lastBackoff);
        }
        scheduleNotes(shard, book.backoff->next(m_random));
    }
    for (const Find &find : finds) {
        find.callback(status);
    }
    for (const PendingClaim &pending : round) {
        pending.callback(status);
    }
    startNextRound(shard);
}

void ClaimBook::startNextRound(std::uint32_t shard)
{
    Book &book = m_books[shard];
    if (!book.notes.empty()) {
        scheduleNotes(shard, m_settings.noteDelay);
    }
    if (!book.finds.empty() || !book.pending.empty()) {
        startRound(shard);
    }
}

void ClaimBook::forget(std::uint32_t shard)
{
    Book &book = m_books[shard];
    if (!book.isBusy) {
        book.isLoaded = false;
        book.claims.clear();
    }
}

}
