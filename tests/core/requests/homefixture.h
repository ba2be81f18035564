#pragma once

#include "smallfleet.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

/// Two entries and two agents. The first entry that is asked becomes the owner of the key shard.
class HomeFixture : public testing::Test
{
protected:
    using AdmissionQuery = RadishSwitch::AdmissionQuery;
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

    AdmissionQuery keyed(const std::string &key) const
    {
        AdmissionQuery query;
        query.request = RequestId(key);
        query.budget = {RadishSwitch::OrganisationId("magnolia"), "saturday"};
        query.worstCaseTokens = kWorstCase;
        query.fingerprint = "body of " + key;
        query.isKeyed = true;
        query.deadline = fleet.timers.now() + std::chrono::seconds(30);
        return query;
    }

    AdmissionQuery nonIdempotent(const std::string &key) const
    {
        AdmissionQuery query = keyed(key);
        query.isNonIdempotent = true;
        return query;
    }

    AdmissionQuery unkeyed(const std::string &id) const
    {
        AdmissionQuery query = keyed(id);
        query.isKeyed = false;
        return query;
    }

    Asked ask(SmallEntry &entry, const AdmissionQuery &query)
    {
        const Asked asked = entry.ask(query);
        fleet.settle();
        return asked;
    }

    /// Admits a request, reports its dispatch and starts it at the agent, where it keeps running.
    Grant startRun(SmallEntry &home, const AdmissionQuery &query, const std::string &agent)
    {
        const Grant grant = ask(home, query)->grant();
        home.home->noteDispatched(query.request, grant.attempt, agent);
        EXPECT_TRUE(fleet.start(query, grant, agent).ok());
        fleet.settle();
        return grant;
    }

    void finishRun(const Grant &grant, const std::string &agent)
    {
        fleet.agents.table(agent)->noteDone(grant.attempt, kUsed);
    }

    /// Kills an entry: its home and all of its state are gone, and the observer considers it dead.
    void kill(std::unique_ptr<SmallEntry> &entry, SmallEntry &observer)
    {
        setDead(*entry, observer);
        entry.reset();
    }

    void setDead(const SmallEntry &entry, SmallEntry &observer)
    {
        observer.directory.setLiveness(RadishSwitch::IncarnationId(entry.name), RadishSwitch::EntryLiveness::Dead);
    }

    static std::vector<std::int64_t> bills(const SmallEntry &entry, const AdmissionQuery &query)
    {
        return entry.reservations.billsOf(query.request);
    }

    /// The tokens that the agents charged to a grant's portion, as found by closing the portion after its holder died.
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
