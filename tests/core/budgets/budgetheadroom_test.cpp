#include "budgetfixture.h"

#include <vector>

namespace RadishSwitch
{

namespace
{

constexpr std::int64_t kPaid = 1'000'000;
constexpr double kHeadroomShare = 0.1;
constexpr double kAwayHeadroomShare = 0.2;

}

/// One holder of a budget of which a tenth is reserved as headroom for urgent calls.
class BudgetHeadroomTest : public BudgetFixture
{
protected:
    void startHolder(double headroomShare = kHeadroomShare)
    {
        holderSettings.headroomShare = headroomShare;
        holderSettings.awayHeadroomShare = headroomShare > 0 ? kAwayHeadroomShare : 0;
        topUp("p", kPaid);
        process = start("h1");
    }

    std::shared_ptr<Answer> ask(std::int64_t tokens, bool isUrgent, Duration timeout = Milliseconds(300))
    {
        const auto answer = std::make_shared<Answer>();
        ReservationRequest request{RequestId("r" + std::to_string(++calls)), kBudget, tokens, timers.now() + timeout};
        request.isUrgent = isUrgent;
        process->holder->reserve(request, [answer](absl::StatusOr<Reservation> result) {
            answer->result = std::move(result);
        });
        last = request.request;
        return answer;
    }

    /// Reserves tokens and settles all of them; returns whether the reservation was granted.
    bool use(std::int64_t tokens, bool isUrgent)
    {
        const auto answer = ask(tokens, isUrgent);
        const RequestId request = last;
        run(Milliseconds(20));
        if (!answer->isGranted()) {
            return false;
        }
        spent += tokens;
        return process->holder->settle(request, tokens).ok();
    }

    /// Uses the budget until about `tokens` of it are left.
    void useAllBut(std::int64_t tokens)
    {
        constexpr std::int64_t kStep = 10'000;
        while (kPaid - spent > tokens) {
            ASSERT_TRUE(use(kStep, true));
        }
    }

    /// One minute of load that uses up the budget in 17 seconds: each second four long drafts of 12,000 tokens and ten
    /// urgent questions of 1,100 tokens. Returns the number of questions that were granted.
    int grantedQuestionsOfAMinute()
    {
        constexpr int kSeconds = 60;
        constexpr std::int64_t kDraft = 12'000;
        constexpr std::int64_t kQuestion = 1'100;
        int granted = 0;
        for (int second = 0; second < kSeconds; ++second) {
            for (int n = 0; n < 10; ++n) {
                granted += use(kQuestion, true) ? 1 : 0;
                if (n % 5 < 2) {
                    (void)use(kDraft, false);
                }
            }
            run(Milliseconds(720));
        }
        return granted;
    }

    std::unique_ptr<Process> process;
    RequestId last;
    int calls = 0;
};

TEST_F(BudgetHeadroomTest, reserve_onlyHeadroomLeft_longCallsAreRefusedAndUrgentOnesGranted)
{
    // A budget is used up except for its headroom of a tenth. The caller of a long draft is refused at once with
    // BudgetLow, which says that the rest is for urgent calls, and with a time to retry; BudgetExhausted would be
    // wrong. Urgent questions are answered until nothing is left.
    startHolder();
    useAllBut(90'000);
    run(Seconds(2));

    const auto draft = ask(20'000, false);
    run(Milliseconds(50));
    EXPECT_TRUE(draft->isRefusedWith(FailureCode::BudgetLow));
    ASSERT_TRUE(draft->result);
    EXPECT_TRUE(retryAfterOf(draft->result->status()));
    for (int n = 0; n < 40; ++n) {
        EXPECT_TRUE(use(2'000, true)) << n;
    }
    expectLedgerHolds();
}

TEST_F(BudgetHeadroomTest, reserve_urgentCallsAreTheLargest_halfOfTheHeadroomServesSmallOnes)
{
    // Urgent summaries of 9,000 tokens and chats of 900 share a budget, of which a tenth is left. If the summaries
    // could use all of it, the next eleven would use it up, and every later chat would be refused. With half of it
    // reserved for calls that are small compared to the average, six summaries and more than fifty chats are answered.
    startHolder();
    for (int n = 0; n < 100; ++n) {
        ASSERT_TRUE(use(8'000, true));
        ASSERT_TRUE(use(900, false));
    }
    run(Seconds(2));

    // 110,000 tokens are left. Ordinary calls must leave 100,000 of them, and large urgent calls 50,000.
    EXPECT_FALSE(use(11'000, false));
    int summaries = 0;
    while (use(9'000, true)) {
        ++summaries;
    }
    EXPECT_EQ(summaries, 6);
    int chats = 0;
    for (int n = 0; n < 100; ++n) {
        chats += use(900, false) ? 1 : 0;
        EXPECT_FALSE(use(9'000, true));
    }
    EXPECT_GT(chats, 50);
    expectLedgerHolds();
}

TEST_F(BudgetHeadroomTest, reserve_moreThanIsLeftAtAll_isExhausted)
{
    startHolder();
    useAllBut(50'000);
    run(Seconds(2));

    const auto draft = ask(80'000, false);
    run(Milliseconds(50));

    EXPECT_TRUE(draft->isRefusedWith(FailureCode::BudgetExhausted));
}

TEST_F(BudgetHeadroomTest, reserve_toppedUpAfterRefusal_isGrantedWithinTwoSeconds)
{
    startHolder();
    useAllBut(90'000);
    run(Seconds(2));
    EXPECT_FALSE(use(20'000, false));
    topUp("q", kPaid);
    run(Seconds(1));

    EXPECT_TRUE(use(20'000, false));
    expectLedgerHolds();
}

TEST_F(BudgetHeadroomTest, reserve_urgentBehindRequestHeldBackForHeadroom_isGrantedAtOnce)
{
    // A long call waits for the ledger to report whether enough is left, and an urgent call arrives behind it. Served
    // in order, the urgent call would wait for an answer that does not concern it.
    startHolder();
    useAllBut(90'000);
    run(Seconds(2));

    const auto draft = ask(20'000, false);
    const auto question = ask(1'000, true);
    tasks.runAll();

    EXPECT_FALSE(draft->result);
    EXPECT_TRUE(question->isGranted());
}

TEST_F(BudgetHeadroomTest, reserve_storeUnavailable_aFifthOfThePortionStaysForUrgentCalls)
{
    // The store becomes unavailable, and the portion has to last until it is back. Long calls use most of the portion
    // and are then refused at once; urgent calls continue with the rest.
    startHolder();
    ASSERT_TRUE(use(10'000, false));
    run(Seconds(2));
    process->link.setCut(true);
    run(Seconds(5));
    int drafts = 0;
    while (use(10'000, false)) {
        ++drafts;
    }
    const auto refused = ask(10'000, false);
    run(Milliseconds(50));

    EXPECT_GT(drafts, 0);
    EXPECT_TRUE(refused->isRefusedWith(FailureCode::BudgetUnavailable));
    EXPECT_TRUE(use(1'000, true));
}

TEST_F(BudgetHeadroomTest, reserve_budgetEndsWithinAMinute_headroomServesUrgentCallsSevenSecondsLonger)
{
    // Drafts take most of a budget, and it ends in the 17th second. Without headroom every later question is refused.
    // With headroom, drafts end after 15 seconds, and the tenth that is left lasts the questions for another nine.
    startHolder();
    const int withHeadroom = grantedQuestionsOfAMinute();

    EXPECT_GT(withHeadroom, 170 + 65);
    expectLedgerHolds();
}

TEST_F(BudgetHeadroomTest, reserve_noHeadroom_urgentCallsEndWithTheLongOnes)
{
    startHolder(0);

    EXPECT_LT(grantedQuestionsOfAMinute(), 190);
    expectLedgerHolds();
}

}
