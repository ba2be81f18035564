#include "baselines.h"
#include "runtruth.h"
#include "spendtruth.h"
#include "truthreader.h"

#include <gtest/gtest.h>

#include <functional>

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kSecond = 1'000'000;

/// What a caller saw and what an endpoint did for one answered request; a second goes by from start to end.
TryRecord wholeTry(const std::string &id, CallKind kind, std::int64_t start)
{
    TryRecord record;
    record.id = id;
    record.key = "key-" + id;
    record.organisation = "shop";
    record.budget = "shop/main";
    record.kind = kind;
    record.isStreamed = kind == CallKind::Chat;
    record.contentHash = "hash-" + id;
    record.startTime = start;
    record.endTime = start + kSecond;
    record.outcome = TryOutcome::Whole;
    record.status = 200;
    record.promptTokens = kind == CallKind::Chat ? 40 : 0;
    record.completionTokens = kind == CallKind::Chat ? 60 : 0;
    record.worstCaseTokens = kind == CallKind::Chat ? 140 : 0;
    record.isLast = true;
    return record;
}

TryRecord refusedTry(const std::string &id, const std::string &code, ToldOutcome told, std::int64_t start)
{
    TryRecord record = wholeTry(id, CallKind::Chat, start);
    record.outcome = TryOutcome::Refused;
    record.status = 503;
    record.code = code;
    record.told = told;
    record.promptTokens = 0;
    record.completionTokens = 0;
    return record;
}

WorkRecord workFor(const TryRecord &record, std::uint64_t number)
{
    WorkRecord work;
    work.number = number;
    work.endpoint = record.kind == CallKind::Chat ? "engine-1" : "service-1";
    work.contentHash = record.contentHash;
    work.isChat = record.kind == CallKind::Chat;
    work.isDone = true;
    work.promptTokens = work.isChat ? 40 : 0;
    work.completionTokens = work.isChat ? 60 : 0;
    work.startTime = record.startTime + 1000;
    work.endTime = record.endTime;
    return work;
}

/// Two chats and an order, answered, billed and paid for as they should be.
TruthRecords goodRecords()
{
    TruthRecords records;
    records.tries = {wholeTry("chat-1", CallKind::Chat, kSecond), wholeTry("chat-2", CallKind::Chat, 2 * kSecond),
                     wholeTry("order-1", CallKind::Order, 3 * kSecond)};
    for (const TryRecord &it : records.tries) {
        records.work.push_back(workFor(it, records.work.size()));
    }
    records.ledger = {LedgerBudget{"shop/main", 1000, 150, {LedgerPortion{300, 50}}}};
    records.events = {ScenarioEvent{0, ScenarioEventKind::TopUp, "shop/main", 1000},
                      ScenarioEvent{0, ScenarioEventKind::EndpointUp, "engine-1", 0}};
    return records;
}

struct Verdict {
    RunTruth runs;
    SpendTruth spend;
};

Verdict judge(const TruthRecords &records)
{
    const RequestHistories histories(records);
    return Verdict{computeRunTruth(records, histories), computeSpendTruth(records, histories)};
}

/// Records with one thing wrong, and the figure that has to show it.
struct BadRecords {
    std::string name;
    std::function<void(TruthRecords &)> spoil;
    std::function<std::int64_t(const Verdict &)> figure;
    std::int64_t expected = 1;
};

void PrintTo(const BadRecords &bad, std::ostream *out)
{
    *out << bad.name;
}

}

class TruthTest : public testing::TestWithParam<BadRecords>
{
};

TEST_P(TruthTest, recordsSpoiltInOnePlace_judged_showInTheirFigure)
{
    TruthRecords records = goodRecords();
    ASSERT_EQ(GetParam().figure(judge(records)), 0);

    GetParam().spoil(records);

    EXPECT_EQ(GetParam().figure(judge(records)), GetParam().expected);
}

namespace
{

const std::vector<BadRecords> kBadRecords{
    {"spentBeyondPaid",
     [](TruthRecords &it) {
         it.events[0].tokens = 180;
     },
     [](const Verdict &it) {
         return it.spend.overspendTokens;
     },
     20},
    {"spentBySilentSecondRun",
     [](TruthRecords &it) {
         it.events[0].tokens = 200;
         it.work.push_back(workFor(it.tries[0], 9));
     },
     [](const Verdict &it) {
         return it.spend.overspendTokens;
     },
     100},
    {"portionsBeyondPaid",
     [](TruthRecords &it) {
         it.ledger[0].portions.push_back(LedgerPortion{600, 0});
     },
     [](const Verdict &it) {
         return it.spend.overdrawnTokens;
     },
     50},
    {"topUpCountedTwice",
     [](TruthRecords &it) {
         it.ledger[0].paid = 2000;
     },
     [](const Verdict &it) {
         return it.spend.paidMismatchTokens;
     },
     1000},
    {"answerBilledTwice",
     [](TruthRecords &it) {
         it.ledger[0].settled += 100;
     },
     [](const Verdict &it) {
         return it.spend.doubleBilled;
     }},
    {"answerNeverBilled",
     [](TruthRecords &it) {
         it.ledger[0] = LedgerBudget{"shop/main", 1000, 100, {}};
     },
     [](const Verdict &it) {
         return it.spend.unbilledTokens;
     },
     100},
    {"refusedWithMoneyThere",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "budget_exhausted", ToldOutcome::NotRun, 4 * kSecond));
     },
     [](const Verdict &it) {
         return it.spend.falseRefusals;
     }},
    {"refusedForNoEndpointWithOneThere",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "no_endpoint", ToldOutcome::NotRun, 4 * kSecond));
     },
     [](const Verdict &it) {
         return it.spend.falseRefusals;
     }},
    {"refusedForAnUnknownKeyThatIsRight",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "unknown_key", ToldOutcome::NotRun, 4 * kSecond));
     },
     [](const Verdict &it) {
         return it.spend.falseRefusals;
     }},
    {"orderRunTwice",
     [](TruthRecords &it) {
         it.work.push_back(workFor(it.tries[2], 9));
     },
     [](const Verdict &it) {
         return it.runs.doubleRuns;
     }},
    {"wholeChatMadeTwice",
     [](TruthRecords &it) {
         it.work.push_back(workFor(it.tries[0], 9));
     },
     [](const Verdict &it) {
         return it.runs.repeatedChats;
     }},
    {"refusedAsNotRunAfterItRan",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "no_endpoint", ToldOutcome::NotRun, 4 * kSecond));
         it.work.push_back(workFor(it.tries.back(), 9));
     },
     [](const Verdict &it) {
         return it.runs.falseNotRun;
     }},
    {"refusedAsNotRunAndRunLater",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "no_endpoint", ToldOutcome::NotRun, 4 * kSecond));
         it.work.push_back(workFor(it.tries.back(), 9));
         it.work.back().startTime = it.tries.back().endTime + kSecond;
     },
     [](const Verdict &it) {
         return it.runs.falseNotRun;
     }},
    {"retryRefusedAsNotRunWhileTheFirstTryRan",
     [](TruthRecords &it) {
         it.tries[0].outcome = TryOutcome::Cut;
         it.tries[0].isLast = false;
         it.tries.push_back(refusedTry("chat-1", "budget_exhausted", ToldOutcome::NotRun, 4 * kSecond));
         it.tries.back().number = 1;
     },
     [](const Verdict &it) {
         return it.runs.falseNotRun;
     }},
    {"answerCutAndNotRetried",
     [](TruthRecords &it) {
         it.tries[0].outcome = TryOutcome::Cut;
     },
     [](const Verdict &it) {
         return it.runs.lostOrMixedAnswers;
     }},
    {"answerOfAnother",
     [](TruthRecords &it) {
         it.tries[0].outcome = TryOutcome::Mixed;
     },
     [](const Verdict &it) {
         return it.runs.lostOrMixedAnswers;
     }},
    {"chatLeftUnknownToTheEnd",
     [](TruthRecords &it) {
         it.tries.push_back(refusedTry("chat-3", "outcome_unknown", ToldOutcome::Unknown, 4 * kSecond));
     },
     [](const Verdict &it) {
         return it.runs.lostOrMixedAnswers;
     }},
    {"runAtLeavingEndpoint",
     [](TruthRecords &it) {
         it.events.push_back(ScenarioEvent{-2 * kSecond, ScenarioEventKind::EndpointLeaving, "service-1", 0});
     },
     [](const Verdict &it) {
         return it.runs.lateWork;
     }},
    {"cutDuringPlannedStop",
     [](TruthRecords &it) {
         it.tries[0].outcome = TryOutcome::Cut;
         it.events.push_back(ScenarioEvent{kSecond + 5, ScenarioEventKind::StopBegin, "entry-1", 0});
     },
     [](const Verdict &it) {
         return it.runs.cutOffByStop;
     }},
    {"continuedWithForeignText",
     [](TruthRecords &it) {
         it.work[0].isContinuationWrong = true;
     },
     [](const Verdict &it) {
         return it.runs.wrongContinuations;
     }},
    {"usageOffTheMark",
     [](TruthRecords &it) {
         it.tries[0].isUsageRight = false;
     },
     [](const Verdict &it) {
         return it.runs.wrongUsage;
     }},
};

std::string nameOf(const testing::TestParamInfo<BadRecords> &info)
{
    return info.param.name;
}

}

INSTANTIATE_TEST_SUITE_P(Figures, TruthTest, testing::ValuesIn(kBadRecords), nameOf);

TEST(TruthRecordsTest, refusalThenAnsweredRetry_judged_isNoFalseNotRun)
{
    TruthRecords records = goodRecords();
    TryRecord refusal = refusedTry("chat-2", "overloaded", ToldOutcome::NotRun, 0);
    refusal.endTime = 10;
    refusal.isLast = false;
    records.tries.push_back(refusal);
    records.tries[1].number = 1;

    EXPECT_EQ(judge(records).runs.falseNotRun, 0);
    EXPECT_EQ(judge(records).runs.answered, 3);
}

TEST(TruthRecordsTest, refusalWithTooLittleLeft_judged_isRight)
{
    TruthRecords records = goodRecords();
    records.events[0].tokens = 339;
    records.tries.push_back(refusedTry("chat-3", "budget_exhausted", ToldOutcome::NotRun, 4 * kSecond));

    EXPECT_EQ(judge(records).spend.falseRefusals, 0);
    EXPECT_EQ(judge(records).spend.refusals, 1);
}

TEST(TruthRecordsTest, refusalForALimit_judged_isNotFalse)
{
    TruthRecords records = goodRecords();
    records.tries.push_back(refusedTry("chat-3", "ceiling_reached", ToldOutcome::NotRun, 4 * kSecond));

    EXPECT_EQ(judge(records).spend.falseRefusals, 0);
}

TEST(TruthRecordsTest, openOutcome_judged_isARefusalOnlyIfNothingRan)
{
    TruthRecords records = goodRecords();
    records.tries.push_back(refusedTry("chat-3", "home_unreachable", ToldOutcome::Unknown, 4 * kSecond));
    EXPECT_EQ(judge(records).spend.falseRefusals, 1);
    EXPECT_EQ(judge(records).runs.lostOrMixedAnswers, 1);

    records.work.push_back(workFor(records.tries.back(), 9));
    EXPECT_EQ(judge(records).spend.falseRefusals, 0);
    EXPECT_EQ(judge(records).runs.lostOrMixedAnswers, 1);
}

TEST(TruthRecordsTest, brokenAnswerContinuedElsewhere_judged_spendsItsPromptOnce)
{
    TruthRecords records = goodRecords();
    records.events[0].tokens = 200;
    records.work[0].completionTokens = 20;
    records.work[0].isDone = false;
    WorkRecord rest = records.work[0];
    rest.number = 9;
    rest.promptTokens = 60;
    rest.completionTokens = 40;
    rest.continuedTokens = 20;
    records.work.push_back(rest);

    EXPECT_EQ(judge(records).spend.overspendTokens, 0);
    EXPECT_EQ(judge(records).spend.spentTokens, 200);
}

TEST(TruthReaderTest, runWrittenTwice_read_countsAsItStoodLast)
{
    TruthReader reader;
    const std::string line =
        R"({"run":0,"endpoint":"e","content_hash":"h","state":"running","prompt_tokens":4,)"
        R"("completion_tokens":0,"cached_tokens":0,"continued_tokens":0,"continuation_wrong":false,)"
        R"("start_us":1,"end_us":0})";
    const std::string later =
        R"({"run":0,"endpoint":"e","content_hash":"h","state":"done","prompt_tokens":4,)"
        R"("completion_tokens":9,"cached_tokens":0,"continued_tokens":0,"continuation_wrong":false,)"
        R"("start_us":1,"end_us":5})";

    ASSERT_TRUE(reader.addRuns(line + "\n" + later + "\n", true).ok());
    ASSERT_TRUE(reader.addRuns("{\"runs\":[" + later + "]}", true).ok());

    ASSERT_EQ(reader.records().work.size(), 2U);
    EXPECT_EQ(reader.records().work[0], reader.records().work[1]);
    EXPECT_EQ(reader.records().work[0].completionTokens, 9);
}

TEST(TruthReaderTest, tryRecord_writtenAndRead_isTheSame)
{
    TruthReader reader;
    const TryRecord record = refusedTry("chat-3", "overloaded", ToldOutcome::Unknown, 7);

    ASSERT_TRUE(reader.addTries(toJson(record) + "\n").ok());

    ASSERT_EQ(reader.records().tries.size(), 1U);
    EXPECT_EQ(reader.records().tries[0], record);
}

TEST(TruthReaderTest, badRecords_read_areErrors)
{
    TruthReader reader;
    EXPECT_FALSE(reader.addRuns("{\"runs\":[{}]}", true).ok());
    EXPECT_FALSE(reader.addLedger(R"({"objects":[{"key":"ledger/0000","value":"{"}]})").ok());
    EXPECT_FALSE(reader.addTries("{}\n").ok());
    EXPECT_FALSE(reader.addEvents(R"({"time_us":1,"event":"flood"})").ok());
}

TEST(TruthReaderTest, ledgerShard_read_givesItsBudgets)
{
    TruthReader reader;
    const std::string shard = R"({\"budgets\":{\"shop/main\":{\"paid\":10,\"settled\":3,)"
                              R"(\"portions\":{\"p\":{\"granted\":5,\"spent\":2}}}}})";

    ASSERT_TRUE(reader.addLedger(R"({"objects":[{"key":"ledger/0000","value":")" + shard + R"("}]})").ok());

    ASSERT_EQ(reader.records().ledger.size(), 1U);
    EXPECT_EQ(reader.records().ledger[0], (LedgerBudget{"shop/main", 10, 3, {LedgerPortion{5, 2}}}));
}

TEST(BaselinesTest, budgetUsedOnOneSideAlone_replayed_splitStrandsHalf)
{
    TruthRecords records = goodRecords();
    records.tries.clear();
    for (int n = 0; n < 6; ++n) {
        records.tries.push_back(wholeTry("chat-" + std::to_string(n), CallKind::Chat, n * kSecond));
        records.tries.back().target = "near";
        records.tries.back().trueCostTokens = 100;
    }
    records.events = {ScenarioEvent{0, ScenarioEventKind::TopUp, "shop/main", 600},
                      ScenarioEvent{0, ScenarioEventKind::DoorSide, "near", 0},
                      ScenarioEvent{0, ScenarioEventKind::DoorSide, "far", 1},
                      ScenarioEvent{kSecond, ScenarioEventKind::StoreDown, "", 0},
                      ScenarioEvent{2 * kSecond, ScenarioEventKind::StoreUp, "", 0}};

    const BaselineFigures figures = replayBaselines(records, RequestHistories(records));

    // 300 on this side serve two requests of at most 140; the other four come while 400 are left.
    EXPECT_EQ(figures.splitFalseRefusals, 4);
    EXPECT_EQ(figures.storeFalseRefusals, 1);
}
