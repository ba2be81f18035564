#include "base/failure.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

TEST(FailureTest, failureFromName_nameOfCode_returnsSameCode)
{
    const absl::Status status =
        makeFailure(FailureCode::BudgetExhausted, "nothing left", std::chrono::milliseconds(250));

    EXPECT_EQ(failureCode(status), FailureCode::BudgetExhausted);
    EXPECT_EQ(failureFromName(failureName(FailureCode::BudgetExhausted)), FailureCode::BudgetExhausted);
    EXPECT_EQ(retryAfterOf(status), std::chrono::milliseconds(250));
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
}

TEST(FailureTest, outcomeOf_statusMarkedUnknown_isUnknown)
{
    EXPECT_EQ(outcomeOf(withUnknownOutcome(makeFailure(FailureCode::ConnectionLost, ""))), RunOutcome::Unknown);
}
