#include "requestsession.h"

#include "requests/claim.h"

#include <algorithm>

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kTokens = 1000;
constexpr std::int64_t kWorstCase = 100;
constexpr Duration kLinkDelay = std::chrono::milliseconds(1);
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);
constexpr char kCaller[] = "shop";

/// Without the watch of the owners, which would fill the sessions with what they are not about.
HomeSettings settings()
{
    HomeSettings settings;
    settings.ownership.isWatching = false;
    return settings;
}

}

struct RequestSession::Entry {
    Entry(RequestSession &session, const std::string &name, std::uint64_t seed)
        : random(seed)
        , store(name, session.store, session.recorder, session.timers, kStoreDelay, tellObject)
        , agents(name, session.m_agents, session.m_courier)
        , portion(session.tasks, "portion-of-" + name, kTokens)
        , reservations(name, portion, session.recorder)
        , home(std::make_unique<Home>(
              HomePorts{session.timers, session.tasks, random, store, agents, reservations, directory},
              KeyOwner{IncarnationId(name), name, "south-central", 0}, settings()))
    {
    }

    SeededRandom random;
    MemoryEntryDirectory directory;
    RecordedObjectStore store;
    MemoryAgentPort agents;
    MemoryReservations portion;
    RecordedReservations reservations;
    std::unique_ptr<Home> home;
};

RequestSession::RequestSession()
    : m_courier(recorder, timers, kLinkDelay)
{
    std::uint64_t seed = 0;
    for (const std::string name : {"entry-1", "entry-2"}) {
        m_entries[name] = std::make_unique<Entry>(*this, name, ++seed);
    }
}

RequestSession::~RequestSession() = default;

std::string RequestSession::tellObject(const std::string &key, const std::string &value)
{
    if (key.starts_with("keyowners/")) {
        const auto owner = decodeKeyOwner(value);
        const std::string name = owner->incarnation.isEmpty() ? "nobody's" : owner->incarnation.value();
        return name + ", epoch " + std::to_string(owner->epoch);
    }
    const auto claims = decodeClaims(value);
    std::string text;
    for (const Claim &claim : *claims) {
        const char *state = claim.state == ClaimState::Claimed ? " claimed"
            : claim.state == ClaimState::Done                  ? " done"
                                                               : " not run";
        text += (text.empty() ? "" : ", ") + claim.request.value() + state;
    }
    return text;
}

AdmissionQuery RequestSession::question(const std::string &key, bool isNonIdempotent) const
{
    AdmissionQuery question;
    question.request = RequestId(key);
    question.budget = {OrganisationId("magnolia"), "saturday"};
    question.worstCaseTokens = kWorstCase;
    question.fingerprint = key;
    question.isKeyed = true;
    question.isNonIdempotent = isNonIdempotent;
    question.deadline = timers.now() + std::chrono::seconds(30);
    return question;
}

void RequestSession::send(const std::string &from, const std::string &to, const std::string &text,
                          std::function<void()> deliver)
{
    m_courier.carry({from, to, text, std::move(deliver), nullptr});
}

void RequestSession::call(const std::string &entry, const AdmissionQuery &question, const std::string &agent)
{
    const std::string kind = question.isNonIdempotent ? "order " : "question ";
    send(kCaller, entry, kind + question.request.value(), [=, this] {
        m_entries[entry]->home->admit(question, [=, this](const auto &decision) {
            hear(entry, question, agent, decision);
        });
    });
}

void RequestSession::hear(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
                          const absl::StatusOr<AdmitDecision> &decision)
{
    if (!decision.ok()) {
        std::string text = "refused: " + std::string(failureName(failureCode(decision.status())));
        text += outcomeOf(decision.status()) == RunOutcome::NotRun ? ", not run" : ", outcome unknown";
        if (const auto retryAfter = retryAfterOf(decision.status())) {
            text += ", come back in " + std::to_string(retryAfter->count()) + " ms";
        }
        return send(entry, kCaller, text, [] {});
    }
    if (const auto *duplicate = std::get_if<DuplicateRun>(&*decision)) {
        return attach(entry, question, *duplicate);
    }
    startRun(entry, question, agent, std::get<Grant>(*decision));
}

void RequestSession::startRun(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
                              const Grant &grant)
{
    m_entries[entry]->home->noteDispatched(question.request, grant.attempt, agent);
    const std::string text =
        "run " + question.request.value() + " on " + grant.portion.value() + ", epoch " + std::to_string(grant.epoch);
    send(entry, agent, text, [=, this] {
        const auto decision = m_agents.table(agent)->start({question.request, grant.attempt, grant.portion, grant.shard,
                                                            grant.epoch, grant.reservedTokens, question.fingerprint,
                                                            question.isNonIdempotent, grant.isProvisional});
        ASSERT_TRUE(decision.ok());
        m_readers[grant.attempt] = entry;
        ++m_engineRuns;
        recorder.happens(agent + " starts " + question.request.value() + " at its engine");
        send(agent, entry, "first part of the answer to " + question.request.value(), [=, this] {
            if (m_entries[entry]->home) {
                send(entry, kCaller, "first part of the answer to " + question.request.value(), [] {});
            }
        });
    });
}

void RequestSession::attach(const std::string &entry, const AdmissionQuery &question, const DuplicateRun &run)
{
    send(entry, run.agentAddress, "the answer to " + question.request.value() + " from its first byte", [=, this] {
        const RunRecord record = m_agents.table(run.agentAddress)->find(question.request, run.attempt);
        m_readers[run.attempt] = entry;
        if (record.state == RunState::Done) {
            answer(entry, question, run.agentAddress, run.attempt);
        }
    });
}

void RequestSession::finishRun(const std::string &agent, const AdmissionQuery &question, std::int64_t tokens)
{
    const RunRecord record = m_agents.table(agent)->findAttachable(question.request);
    m_agents.table(agent)->noteDone(record.attempt, tokens);
    m_engineTokens += tokens;
    recorder.happens(agent + "'s engine has ended " + question.request.value() + ", " + std::to_string(tokens)
                     + " tokens");
    answer(m_readers[record.attempt], question, agent, record.attempt);
}

void RequestSession::answer(const std::string &entry, const AdmissionQuery &question, const std::string &agent,
                            const AttemptId &attempt)
{
    const RunRecord record = m_agents.table(agent)->find(question.request, attempt);
    send(agent, entry, "whole answer: " + MemoryAgentPort::describe(record), [=, this] {
        if (!m_entries[entry]->home) {
            return;
        }
        send(entry, kCaller, "whole answer to " + question.request.value(), [] {});
        m_entries[entry]->home->settle(question.request, {record.chargedTokens, false, false, attempt});
    });
}

void RequestSession::kill(const std::string &entry)
{
    recorder.happens(entry + " is killed");
    m_entries[entry]->home.reset();
    for (const auto &[name, other] : m_entries) {
        other->directory.setLiveness(IncarnationId(entry), EntryLiveness::Dead);
    }
}

void RequestSession::stop(const std::string &entry)
{
    recorder.happens(entry + " is told to stop");
    m_entries[entry]->home->stop([this, entry] {
        recorder.happens(entry + " has nothing open any more, and ends");
    });
}

void RequestSession::closePortionOf(const std::string &entry)
{
    for (const auto &[name, closer] : m_entries) {
        if (!closer->home) {
            continue;
        }
        for (const std::string &agent : closer->agents.agentAddresses()) {
            closer->agents.closePortions(agent, {PortionId("portion-of-" + entry)}, [this](const auto &portions) {
                for (const auto &charge : portions->front().charges) {
                    m_billedByClosing += charge.tokens;
                }
            });
        }
    }
}

void RequestSession::advance(Duration span)
{
    constexpr Duration kStep = std::chrono::microseconds(500);
    for (; span > Duration::zero(); span -= kStep) {
        timers.advance(std::min(span, kStep));
        tasks.runAll();
    }
}

void RequestSession::tellSums()
{
    std::int64_t billed = m_billedByClosing;
    std::int64_t reserved = 0;
    std::int64_t withheld = 0;
    for (const auto &[name, entry] : m_entries) {
        withheld += entry->portion.withheld();
        if (entry->home) {
            reserved += entry->portion.reserved();
            billed += kTokens - entry->portion.free() - entry->portion.reserved() - entry->portion.withheld();
        }
    }
    recorder.tells("Sums");
    recorder.sums("runs at engines", m_engineRuns, "runs");
    recorder.sums("used at engines", m_engineTokens);
    recorder.sums("billed", billed);
    recorder.sums("still reserved", reserved);
    recorder.sums("withheld", withheld);
    EXPECT_EQ(billed, m_engineTokens);
}
