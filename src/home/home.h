#pragma once

#include "adminserver.h"
#include "asiotimerservice.h"
#include "budgethomesettings.h"
#include "budgets/budgetholder.h"
#include "budgetservice.h"
#include "countedstore.h"
#include "fleetstore.h"
#include "homecandidacy.h"
#include "http2transport.h"
#include "loadreporting.h"
#include "peerannouncement.h"
#include "prepaidbudgets.h"
#include "serving/coalescingstore.h"
#include "serving/probedstore.h"
#include "serving/streamorigintable.h"
#include "streamoriginservice.h"
#include "systemrandom.h"

#include <functional>

namespace RadishSwitch
{

/// A home of budgets: a process beside an endpoint that holds portions of budgets, against which gateways reserve
/// tokens.
///
/// Gateways don't hold the portions themselves because many gateways fail at the same time: they are upgraded,
/// overloaded by callers, killed, or cut off from the store together. The budgets lost the tokens that these gateways
/// held, and each portion had to be large enough to last through the longest loss of the store. A home beside an
/// endpoint does not fail together with the gateways, so its portions can be small.
class Home
{
public:
    explicit Home(BudgetHomeSettings settings);
    ~Home();

    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /// Listens on all ports and starts to announce the home to the fleet. Returns an error if listening on a port
    /// fails.
    absl::Status start();

    /// Starts a planned stop: the home refuses new reservations, waits until the open ones are settled, and returns its
    /// portions to the budgets. Calls `callback` when all portions are returned, or shortly before the drain timeout
    /// ends, whichever comes first.
    void drain(std::function<void()> callback);

    WorkerPool &workers()
    {
        return m_workers;
    }

    std::uint16_t port() const;
    std::uint16_t adminPort() const;

private:
    void finishDrain();
    void updateGauges();

    const BudgetHomeSettings m_settings;
    WorkerPool m_workers;
    AsioTimerService m_timers;
    SystemRandom m_random;
    Metrics m_metrics;
    std::unique_ptr<ObjectStore> m_platformStore;
    CountedStore m_store;
    /// Serves the watches of gateways that are cut off from the store.
    ProbedStore m_probedStore;
    CoalescingStore m_coalescingStore;
    Ledger m_ledger;
    BudgetHolder m_holder;
    PrepaidBudgets m_budgets;
    BudgetService m_service;
    /// Origins of the streams of gateways, which may be killed before their callers continue them elsewhere.
    StreamOriginTable m_streamOrigins;
    StreamOriginService m_originService;
    PeerAnnouncement m_announcement;
    HomeCandidacy m_candidacy;
    /// Null without an endpoint whose reports are read.
    std::unique_ptr<LoadReporting> m_loadReporting;
    Http2MessageServer m_server;
    AdminServer m_admin;
    std::function<void()> m_onDrained;
};

}
