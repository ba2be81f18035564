#include "base/failure.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

TEST(FailureTest, statusWithCode_namedAndBack_givesSameCode)
{
    const absl::Status status =
        makeFailure(FailureCode::BudgetExhausted, "nothing left", std::chrono::milliseconds(250));

    EXPECT_EQ(failureCode(status), FailureCode::BudgetExhausted);
    EXPECT_EQ(failureFromName(failureName(FailureCode::BudgetExhausted)), FailureCode::BudgetExhausted);
    EXPECT_EQ(retryAfterOf(status), std::chrono::milliseconds(250));
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
}

TEST(FailureTest, statusMarkedUnknown_askedForOutcome_isNotReadAsNotRun)
{
    EXPECT_EQ(outcomeOf(withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, ""))), RunOutcome::Unknown);
}
