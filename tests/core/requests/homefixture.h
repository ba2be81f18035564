#pragma once

#include "smallfleet.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

/// Two entries over two agents; the first owns the key shard as soon as it is asked.
class HomeFixture : public testing::Test
{
protected:
    using AdmitQuestion = RadishSwitch::AdmitQuestion;
    using FailureCode = RadishSwitch::FailureCode;
    using Grant = RadishSwitch::Grant;
    using RequestId = RadishSwitch::RequestId;
    using RunOutcome = RadishSwitch::RunOutcome;
    using RunState = RadishSwitch::RunState;

    static constexpr std::int64_t kWorstCase = 100;
    static constexpr std::int64_t kUsed = 60;

    HomeFixture()
    {
        first = fleet.makeEntry("first");
        second = fleet.makeEntry("second");
    }

    AdmitQuestion keyed(const std::string &key) const
    {
        AdmitQuestion question;
        question.request = RequestId(key);
        question.budget = {RadishSwitch::OrganisationId("magnolia"), "saturday"};
        question.worstCaseTokens = kWorstCase;
        question.fingerprint = "body of " + key;
        question.isKeyed = true;
        question.deadline = fleet.timers.now() + std::chrono::seconds(30);
        return question;
    }

    AdmitQuestion order(const std::string &key) const
    {
        AdmitQuestion question = keyed(key);
        question.isNonIdempotent = true;
        return question;
    }

    AdmitQuestion unkeyed(const std::string &id) const
    {
        AdmitQuestion question = keyed(id);
        question.isKeyed = false;
        return question;
    }

    Asked ask(SmallEntry &entry, const AdmitQuestion &question)
    {
        const Asked asked = entry.ask(question);
        fleet.settle();
        return asked;
    }

    /// Admits, notes and starts a request; its run goes on at the agent.
    Grant startRun(SmallEntry &home, const AdmitQuestion &question, const std::string &agent)
    {
        const Grant grant = ask(home, question)->grant();
        home.home->noteDispatched(question.request, grant.attempt, agent);
        EXPECT_TRUE(fleet.start(question, grant, agent).ok());
        fleet.settle();
        return grant;
    }

    void finishRun(const Grant &grant, const std::string &agent)
    {
        fleet.agents.table(agent)->noteDone(grant.attempt, kUsed);
    }

    /// The entry is killed: everything that it knew is gone.
    void kill(std::unique_ptr<SmallEntry> &entry, SmallEntry &observer)
    {
        setDead(*entry, observer);
        entry.reset();
    }

    void setDead(const SmallEntry &entry, SmallEntry &observer)
    {
        observer.directory.setLiveness(RadishSwitch::IncarnationId(entry.name), RadishSwitch::EntryLiveness::Dead);
    }

    static std::vector<std::int64_t> bills(const SmallEntry &entry, const AdmitQuestion &question)
    {
        return entry.reservations.billsOf(question.request);
    }

    /// What agents charged to a portion, as its closing after the holder's death finds it.
    std::int64_t chargedAtAgents(const Grant &grant)
    {
        std::int64_t sum = 0;
        for (const std::string &address : fleet.agents.listed()) {
            if (auto *table = fleet.agents.table(address)) {
                const auto closed = table->closePortions({grant.portion});
                for (const auto &charge : closed.front().charges) {
                    sum += charge.tokens;
                }
            }
        }
        return sum;
    }

    SmallFleet fleet;
    std::unique_ptr<SmallEntry> first;
    std::unique_ptr<SmallEntry> second;
};
