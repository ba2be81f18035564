#pragma once

#include "http2transport.h"
#include "serving/budgetpeerport.h"
#include "serving/homedirectory.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace RadishSwitch
{

/// Path of the streams on which gateways reserve at each other.
inline constexpr char kBudgetPath[] = "/budget";

/// After which reservations of a gateway that is silent about them count as used whole.
struct ReservationExpiry {
    /// Longer than any call lasts.
    Duration call = std::chrono::seconds(20);
    /// An advance of a budget that is hardly used lies for long; what is left of it after this is lost to the budget.
    Duration advance = std::chrono::seconds(90);
};

/// Reserves at other gateways, over one stream to each that is opened when it is first needed.
class BudgetPeers : public BudgetPeerPort
{
public:
    /// A reservation that is not settled after the expiry counts as used whole at the peer.
    BudgetPeers(MessageClients &clients, const HomeDirectory &homes, TimerService &timers,
                ReservationExpiry expiry = {});
    ~BudgetPeers() override;

    void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                 BudgetPeerCallback callback) override;
    /// Has a peer give back a portion of this gateway, which spends no more of it.
    void handOver(const std::string &peer, const BudgetId &budget, const PortionId &portion, std::int64_t spentTokens);

    void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) override;
    void chargePart(const std::string &peer, const RequestId &reservation, std::int64_t usedTokens) override;

private:
    struct Pending {
        BudgetPeerCallback callback;
        TimerId timer = 0;
        Instant askedAt{};
        /// Until then a sound peer may let the call wait.
        Instant deadline{};
    };

    struct Link {
        MessageStreamPointer stream;
        /// When an answer came last.
        Instant heardAt = Instant::min();
        absl::flat_hash_map<RequestId, Pending> pending;
    };

    bool send(const std::string &peer, std::string frame);
    void handleAnswer(const std::string &peer, const std::string &frame);
    void handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status);
    void handleTimeout(const std::string &peer, const RequestId &call);
    void finish(const std::string &peer, const RequestId &call, absl::StatusOr<std::int64_t> result);

    MessageClients &m_clients;
    const HomeDirectory &m_homes;
    TimerService &m_timers;
    const ReservationExpiry m_expiry;
    std::map<std::string, Link> m_links;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
