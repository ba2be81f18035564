#include "homewire.h"
#include "localhomesession.h"

#include "smallfleet.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class LocalHomeSessionTest : public testing::Test
{
protected:
    AdmissionQuery question() const
    {
        AdmissionQuery question;
        question.request = RequestId("r-1");
        question.budget = {OrganisationId("magnolia"), "main"};
        question.worstCaseTokens = 100;
        question.fingerprint = "f";
        question.deadline = fleet.timers.now() + std::chrono::seconds(30);
        return question;
    }

    std::unique_ptr<LocalHomeSession> open()
    {
        return std::make_unique<LocalHomeSession>(*entry->home, monitor);
    }

    std::optional<absl::StatusOr<AdmitDecision>> admit(LocalHomeSession &session)
    {
        std::optional<absl::StatusOr<AdmitDecision>> answer;
        session.admit(question(), [&answer](auto decision) {
            answer = decision;
        });
        fleet.settle();
        return answer;
    }

    std::int64_t reserved() const
    {
        return entry->reservations.reserved();
    }

    SmallFleet fleet;
    Monitor monitor;
    std::unique_ptr<SmallEntry> entry = fleet.makeEntry("entry-1");
};

TEST_F(LocalHomeSessionTest, settle_afterAGrant_billsAndLeavesNothingToTheHome)
{
    auto session = open();
    const auto answer = admit(*session);
    ASSERT_TRUE(answer && answer->ok());
    const AttemptId attempt = std::get<Grant>(**answer).attempt;
    session->noteDispatched(attempt, "agent-1", [](const absl::Status &) {});
    absl::Status settled = makeFailure(FailureCode::Internal, "not yet");
    session->settle({60, false, false, attempt}, [&settled](const absl::Status &status) {
        settled = status;
    });
    session.reset();
    fleet.settle();
    EXPECT_TRUE(settled.ok());
    EXPECT_EQ(entry->reservations.billsOf(RequestId("r-1")), (std::vector<std::int64_t>{60}));
    EXPECT_EQ(entry->home->openRequests(), 0u);
}

// The entry's coroutine ends after the grant without a settlement, as when its caller hung up. The home finds at the
// agents that nothing ran and frees the tokens; else they would stay reserved until the portion is closed.
TEST_F(LocalHomeSessionTest, destructor_beforeASettlement_abandonsTheGrant)
{
    auto session = open();
    ASSERT_TRUE(admit(*session)->ok());
    EXPECT_EQ(reserved(), 100);
    session.reset();
    fleet.advance(std::chrono::seconds(30));
    EXPECT_EQ(reserved(), 0);
    EXPECT_EQ(entry->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(entry->home->openRequests(), 0u);
}

// The session is dropped while its question is under way; the grant comes when nobody is left to settle it.
TEST_F(LocalHomeSessionTest, destructor_beforeTheGrant_abandonsItWhenItComes)
{
    auto session = open();
    entry->reservations.setDelayingAnswers(true);
    session->admit(question(), [](const auto &) {});
    fleet.settle();
    session.reset();
    entry->reservations.setDelayingAnswers(false);
    fleet.advance(std::chrono::seconds(30));
    EXPECT_EQ(reserved(), 0);
    EXPECT_EQ(entry->reservations.free(), SmallFleet::kTokens);
    EXPECT_EQ(entry->home->openRequests(), 0u);
}

TEST(HomeWireTest, admitQuestion_overTheWire_isTheSame)
{
    AdmissionQuery question;
    question.request = RequestId("r-1");
    question.budget = {OrganisationId("magnolia"), "main"};
    question.worstCaseTokens = 100;
    question.fingerprint = "f";
    question.isKeyed = true;
    question.isNonIdempotent = true;
    question.deadline = Instant(std::chrono::seconds(31));
    question.pool = PoolId("engines");
    const Instant sent(std::chrono::seconds(1));
    EXPECT_EQ(admitQuestionFromWire(admitQuestionToWire(question, sent), sent), question);
}

TEST(HomeWireTest, admitDecision_overTheWire_isTheSame)
{
    // The home says that it knew the portion open 2 s ago; the asker counts that from before it asked, so that an agent
    // which started in between is not taken for an older one.
    const Instant homeNow(std::chrono::seconds(50));
    const Instant askedAt(std::chrono::seconds(7));
    Grant grant{PortionId("p"), 3, 4, 100, AttemptId("a"), true};
    grant.portionConfirmedAt = homeNow - std::chrono::seconds(2);
    const auto sent = admitDecisionFromWire(admitDecisionToWire(AdmitDecision(grant), homeNow), askedAt);
    ASSERT_TRUE(sent.ok());
    EXPECT_EQ(std::get<Grant>(*sent).portionConfirmedAt, askedAt - std::chrono::seconds(2));

    const AdmitDecision decisions[] = {
        Grant{PortionId(), 3, 4, 0, AttemptId("a"), true},
        DuplicateRun{"agent-1:1#life", AttemptId("a"), true},
    };
    for (const AdmitDecision &decision : decisions) {
        const auto back = admitDecisionFromWire(admitDecisionToWire(decision, homeNow), askedAt);
        ASSERT_TRUE(back.ok());
        EXPECT_EQ(*back, decision);
    }
    const auto refusal = withUnknownOutcome(makeFailure(FailureCode::StoreTimeout, "?", std::chrono::milliseconds(5)));
    const auto back = admitDecisionFromWire(admitDecisionToWire(refusal, homeNow), askedAt);
    EXPECT_EQ(failureCode(back.status()), FailureCode::StoreTimeout);
    EXPECT_EQ(outcomeOf(back.status()), RunOutcome::Unknown);
    EXPECT_EQ(retryAfterOf(back.status()), std::chrono::milliseconds(5));
    EXPECT_EQ(failureCode(admitDecisionFromWire({}, askedAt).status()), FailureCode::MalformedMessage);
}

// A late settlement of an earlier grant reaches the home after the request was granted anew. It names its grant, so
// that it ends that one only; with the name lost on the way it would end, and bill, the later grant.
TEST(HomeWireTest, settlement_overTheWire_keepsTheGrantThatItEnds)
{
    for (const Settlement &settlement :
         {Settlement{60, false, false, AttemptId("a")}, Settlement{0, true, false, AttemptId("b")},
          Settlement{0, false, true, AttemptId("c")}}) {
        EXPECT_EQ(settlementFromWire(settlementToWire(settlement)), settlement);
    }
}
