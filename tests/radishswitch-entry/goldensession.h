#pragma once

#include "../golden/recordedcourier.h"
#include "../golden/recordedobjectstore.h"
#include "../golden/recordedreservations.h"
#include "../golden/sessionrecorder.h"
#include "dispatchgate.h"
#include "fakemessagestream.h"
#include "goldenagent.h"
#include "memoryagents.h"
#include "memoryentrydirectory.h"
#include "memoryobjectstore.h"
#include "memoryreservations.h"
#include "recordedhomes.h"
#include "requestjournal.h"
#include "requests/home.h"
#include "seededrandom.h"
#include "virtualloop.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

/// A caller, one entry with its real way of a request and its real home, two agents with real run tables, their engines
/// and a store, all on virtual time, with everything that goes over an interface written down.
class GoldenSession : public testing::Test
{
protected:
    GoldenSession();
    ~GoldenSession() override;

    /// The caller sends a request and reads its answer to the end.
    void call(const std::string &target, const std::string &body, const std::string &key = "");

    GoldenAgent &agent(int n);

    /// The sums of work and of tokens, which must agree.
    void tellSums();

    VirtualLoop loop;
    SessionRecorder recorder{loop.timers};

private:
    void listEndpoint(const std::string &name);
    static std::string tellObject(const std::string &key, const std::string &value);

    MemoryObjectStore m_memoryStore{loop.tasks};
    RecordedObjectStore m_store;
    MemoryAgents m_agents{loop.timers, {"agent-1", "agent-2"}};
    RecordedCourier m_courier;
    MemoryAgentPort m_port{"entry-1", m_agents, m_courier};
    SeededRandom m_random;
    MemoryEntryDirectory m_directory;
    MemoryReservations m_portion;
    RecordedReservations m_reservations;
    RadishSwitch::Monitor m_monitor;
    std::unique_ptr<RadishSwitch::Home> m_home;
    std::unique_ptr<RecordedHomes> m_homes;
    RadishSwitch::DispatchGate m_gate{loop.timers, m_random, "zone-a", "south-central"};
    RadishSwitch::RequestJournal m_journal{loop.timers};
    FakeMessageClients m_clients{loop};
    std::vector<std::unique_ptr<GoldenAgent>> m_agentSides;
    RadishSwitch::SteeringTable m_table;
    int m_calls = 0;
};
