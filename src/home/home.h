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
#include "peerannouncement.h"
#include "prepaidbudgets.h"
#include "serving/coalescingstore.h"
#include "serving/probedstore.h"
#include "systemrandom.h"

#include <functional>

namespace RadishSwitch
{

/// One process beside an endpoint that is home of budgets: gateways reserve against the portions that it holds.
///
/// Gateways are upgraded, overrun by callers, killed in herds and cut off from the store together. What they held was
/// lost to the budgets each time, and it had to last through the longest cut. A home beside an endpoint shares none of
/// these fates, so that its portions can be small.
class Home
{
public:
    explicit Home(BudgetHomeSettings settings);
    ~Home();

    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /// Opens all doors and makes the home known. The errors of listening.
    absl::Status start();

    /// Planned stop: nothing new is reserved, open reservations are waited for, portions go back. Calls back when all
    /// is done, or the drain timeout has passed.
    void drain(std::function<void()> callback);

    WorkerPool &workers()
    {
        return m_workers;
    }

    std::uint16_t port() const;
    std::uint16_t adminPort() const;

private:
    void end();
    void countGauges();

    const BudgetHomeSettings m_settings;
    WorkerPool m_workers;
    AsioTimerService m_timers;
    SystemRandom m_random;
    Metrics m_metrics;
    std::unique_ptr<ObjectStore> m_platformStore;
    CountedStore m_store;
    /// For gateways that are cut off from the store.
    ProbedStore m_probedStore;
    CoalescingStore m_sharedReads;
    Ledger m_ledger;
    BudgetHolder m_holder;
    PrepaidBudgets m_budgets;
    BudgetService m_service;
    PeerAnnouncement m_announcement;
    HomeCandidacy m_candidacy;
    Http2MessageServer m_server;
    AdminServer m_admin;
    std::function<void()> m_onDrained;
};

}
