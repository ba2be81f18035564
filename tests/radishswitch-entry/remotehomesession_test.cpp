#include "remotehomesession.h"

#include "fakemessagestream.h"
#include "homewire.h"
#include "virtualloop.h"

#include <gtest/gtest.h>

#include <optional>

using namespace RadishSwitch;

class RemoteHomeSessionTest : public testing::Test
{
protected:
    using Done = std::shared_ptr<std::optional<absl::Status>>;

    RemoteHomeSessionTest()
    {
        clients.handle("entry-2:1", [](const auto &) {});
        session = std::make_unique<RemoteHomeSession>(clients.client("entry-2:1"), loop.timers,
                                                      [this](const std::string &address) {
                                                          owner = address;
                                                      });
        AdmissionQuery question;
        question.request = RequestId("r-1");
        question.deadline = loop.timers.now() + std::chrono::seconds(30);
        session->admit(question, [this](auto answer) {
            decision = std::move(answer);
        });
    }

    FakeMessageStream &home()
    {
        return *clients.opened.at(0);
    }

    void answer(const absl::StatusOr<AdmitDecision> &decision, const std::string &ownerAddress = "")
    {
        wire::HomeAnswer message;
        *message.mutable_admit() = admitDecisionToWire(decision, Instant());
        message.mutable_admit()->set_owner_address(ownerAddress);
        home().deliver(message);
        loop.settle();
    }

    void confirmDispatch(const std::string &attempt)
    {
        wire::HomeAnswer message;
        message.set_dispatched_attempt_id(attempt);
        home().deliver(message);
        loop.settle();
    }

    void confirmSettlement()
    {
        wire::HomeAnswer message;
        message.set_settled(true);
        home().deliver(message);
        loop.settle();
    }

    Done dispatch(const std::string &attempt)
    {
        const auto done = std::make_shared<std::optional<absl::Status>>();
        session->noteDispatched(AttemptId(attempt), "agent-1:1", [done](const absl::Status &status) {
            *done = status;
        });
        return done;
    }

    Done settle()
    {
        const auto done = std::make_shared<std::optional<absl::Status>>();
        session->settle({60, false, false, AttemptId("a-1")}, [done](const absl::Status &status) {
            *done = status;
        });
        return done;
    }

    VirtualLoop loop;
    FakeMessageClients clients{loop};
    std::unique_ptr<RemoteHomeSession> session;
    std::optional<absl::StatusOr<AdmitDecision>> decision;
    std::string owner;
};

TEST_F(RemoteHomeSessionTest, session_grantedAndSettled_isConfirmedStepByStep)
{
    answer(AdmitDecision(Grant{PortionId("p"), 1, 2, 100, AttemptId("a-1"), false}));
    ASSERT_TRUE(decision && decision->ok());
    EXPECT_EQ(std::get<Grant>(**decision).attempt, AttemptId("a-1"));
    const Done dispatched = dispatch("a-1");
    confirmDispatch("a-1");
    EXPECT_TRUE(*dispatched && (*dispatched)->ok());
    const Done settled = settle();
    EXPECT_FALSE(*settled);
    confirmSettlement();
    EXPECT_TRUE(*settled && (*settled)->ok());
    session.reset();
    EXPECT_TRUE(home().isFinished);
}

// The first attempt is sent without waiting for the home. It is refused, and a second is told to the home; now the
// confirmation of the first comes. Taken for the second's, that attempt would go out before the home knows of it, and a
// home that looked for the run after this entry's death would not look there.
TEST_F(RemoteHomeSessionTest, noteDispatched_confirmationOfAnEarlierAttempt_isNotTakenForThisOne)
{
    const Done first = dispatch("a-1");
    const Done second = dispatch("a-2");
    confirmDispatch("a-1");
    EXPECT_TRUE(*first && (*first)->ok());
    EXPECT_FALSE(*second);
    confirmDispatch("a-2");
    EXPECT_TRUE(*second && (*second)->ok());
}

// The same with the settlement: it is not on the books until the home says so.
TEST_F(RemoteHomeSessionTest, settle_confirmationOfADispatch_isNotTakenForIt)
{
    dispatch("a-1");
    const Done settled = settle();
    confirmDispatch("a-1");
    EXPECT_FALSE(*settled);
    confirmSettlement();
    EXPECT_TRUE(*settled && (*settled)->ok());
}

// A dispatch is never confirmed, and its time is over just after the settlement was sent. That must not fail the
// settlement, which has its own time.
TEST_F(RemoteHomeSessionTest, settle_timeOfAnEarlierDispatchOver_hasItsOwnTime)
{
    dispatch("a-1");
    loop.advance(std::chrono::milliseconds(1900));
    const Done settled = settle();
    loop.advance(std::chrono::milliseconds(200));
    EXPECT_FALSE(*settled);
    loop.advance(std::chrono::milliseconds(1900));
    ASSERT_TRUE(*settled);
    EXPECT_EQ(failureCode(**settled), FailureCode::HomeUnreachable);
}

// The home dies before it has answered. The entry learns of it by its stream and can ask another at once.
TEST_F(RemoteHomeSessionTest, admit_homeDies_isUnreachableAtOnce)
{
    home().close(makeFailure(FailureCode::ConnectionLost, "cut"));
    loop.settle();
    ASSERT_TRUE(decision);
    EXPECT_EQ(failureCode(decision->status()), FailureCode::HomeUnreachable);
    EXPECT_TRUE(retryAfterOf(decision->status()));
    const Done dispatched = dispatch("a-1");
    EXPECT_TRUE(*dispatched && failureCode(**dispatched) == FailureCode::HomeUnreachable);
}

// The home never answers on a connection that stands: the caller's deadline ends the wait, with the time to come back.
TEST_F(RemoteHomeSessionTest, admit_homeSilent_isUnreachableAtTheDeadline)
{
    loop.advance(std::chrono::seconds(30));
    ASSERT_TRUE(decision);
    EXPECT_EQ(failureCode(decision->status()), FailureCode::HomeUnreachable);
    EXPECT_TRUE(retryAfterOf(decision->status()));
}

TEST_F(RemoteHomeSessionTest, admit_homeElsewhere_tellsWhoTheOwnerIs)
{
    answer(makeFailure(FailureCode::HomeElsewhere, "ask entry-3"), "entry-3:1");
    ASSERT_TRUE(decision);
    EXPECT_EQ(failureCode(decision->status()), FailureCode::HomeElsewhere);
    EXPECT_EQ(owner, "entry-3:1");
}
