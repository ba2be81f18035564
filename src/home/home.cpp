#include "home.h"

#include "budgetmetrics.h"
#include "budgetpeers.h"
#include "fleetparts.h"
#include "log.h"
#include "peerentry.h"
#include "streamoriginwire.h"
#include "watchpeers.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

const Log kLog("process");

/// A drain ends this long before the drain timeout, so that the process exits by itself before it is killed.
constexpr Duration kStopReserve = std::chrono::milliseconds(400);

/// Longest time that a watch of the store waits for a change. It is shorter than the time that a gateway which is cut
/// off from the store waits for the home's answer to its watch.
constexpr Duration kWatchWait = std::chrono::milliseconds(800);

FleetStoreSettings storeSettings(const FleetSettings &settings)
{
    FleetStoreSettings store;
    store.address = settings.platform.toString();
    store.watchWait = kWatchWait;
    return store;
}

HomeCandidacySettings candidacySettings(const BudgetHomeSettings &settings)
{
    HomeCandidacySettings candidacy;
    candidacy.targetPerZone = settings.announcedHomesPerZone;
    return candidacy;
}

}

Home::Home(BudgetHomeSettings settings)
    : m_settings(std::move(settings))
    , m_workers(1)
    , m_timers(m_workers)
    , m_platformStore(makeFleetStore(m_workers, storeSettings(m_settings)))
    , m_store(*m_platformStore, m_timers, m_metrics)
    , m_probedStore(m_store, m_timers, m_random)
    , m_coalescingStore(m_probedStore)
    , m_ledger(m_store, m_timers, m_random, ledgerSettings(m_settings))
    , m_holder(m_ledger, m_timers, m_workers, m_random, holderSettings(m_settings, m_random))
    , m_budgets(m_ledger, m_holder, m_timers,
                [] {
                    return false;
                })
    , m_service(m_budgets, m_timers)
    , m_streamOrigins(m_timers.now())
    , m_originService(
          [this](const StreamOriginRecord &record) {
              m_streamOrigins.note(record, m_timers.now());
          },
          [this](const StreamOriginQuery &query) {
              return m_streamOrigins.answer(query, m_timers.now());
          })
    , m_announcement(m_store, m_timers, m_random, m_settings.instance,
                     writePeerEntry(peerOf(m_settings, PeerKind::Home)))
    , m_candidacy(m_store, m_timers, m_random, m_announcement, m_settings.instance, m_settings.zone,
                  candidacySettings(m_settings))
    , m_loadReporting(m_settings.endpoint.empty() ? nullptr
                                                  : std::make_unique<LoadReporting>(m_settings, m_workers, m_store,
                                                                                    m_timers, m_random, m_metrics))
    , m_server(m_workers, transportSettings(m_settings))
    , m_admin(m_workers, m_metrics)
{
}

Home::~Home()
{
    m_workers.stop();
}

absl::Status Home::start()
{
    kLog.info("starting",
              {field("instance", m_settings.instance), field("zone", m_settings.zone),
               field("listen", m_settings.peerListen.toString()), field("store", m_settings.platform.toString())});
    m_server.handle(kBudgetPath, [this](const MessageStreamPointer &stream) {
        m_service.serve(stream);
    });
    m_server.handle(kStreamOriginPath, [this](const MessageStreamPointer &stream) {
        m_originService.serve(stream);
    });
    m_server.handle(kWatchPath, [this](const MessageStreamPointer &stream) {
        serveFromStore(m_coalescingStore, stream);
    });
    if (m_loadReporting) {
        m_loadReporting->addHandlers(m_server);
    }
    absl::Status status = m_admin.listen(m_settings.adminListen.ip(), m_settings.adminListen.port());
    if (status.ok()) {
        status = m_server.listen(m_settings.peerListen.ip(), m_settings.peerListen.port());
    }
    if (!status.ok()) {
        return status;
    }
    m_workers.post([this] {
        m_metrics.beforeCollection([this] {
            updateGauges();
        });
        m_candidacy.start(m_settings.isFirstStart);
        if (m_loadReporting) {
            m_loadReporting->start();
        }
        m_admin.setReady(true);
    });
    m_workers.start();
    return absl::OkStatus();
}

void Home::drain(std::function<void()> callback)
{
    m_workers.post([this, callback = std::move(callback)]() mutable {
        kLog.info("draining", {field("open_reservations", m_holder.openReservationCount())});
        m_admin.setReady(false);
        m_onDrained = std::move(callback);
        m_holder.stop([this] {
            finishDrain();
        });
        m_timers.after(m_settings.drainTimeout - kStopReserve, [this] {
            finishDrain();
        });
    });
}

void Home::finishDrain()
{
    if (const auto callback = std::exchange(m_onDrained, nullptr)) {
        kLog.info("stopped", {field("open_reservations", m_holder.openReservationCount())});
        callback();
    }
}

std::uint16_t Home::port() const
{
    return m_server.port();
}

std::uint16_t Home::adminPort() const
{
    return m_admin.port();
}

void Home::updateGauges()
{
    countBudgets(m_holder, m_metrics);
    m_metrics.gauge("radishswitch_stream_origins", "Recent streams of which it is known at which version they began")
        .set(static_cast<double>(m_streamOrigins.size()));
    if (m_loadReporting) {
        m_loadReporting->updateGauges();
    }
}

}
