#pragma once

#include "http2transport.h"
#include "serving/budgetpeerport.h"
#include "serving/homedirectory.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace RadishSwitch
{

/// Path of the streams on which gateways reserve tokens at homes and at other gateways.
inline constexpr char kBudgetPath[] = "/budget";

/// Reserves tokens at homes and other gateways. Uses one stream to each peer, which is opened when it is first needed.
class BudgetPeers : public BudgetPeerPort
{
public:
    /// If a reservation is not settled within `expiry`, the peer counts all of its tokens as used.
    BudgetPeers(MessageClients &clients, const HomeDirectory &homes, TimerService &timers, Duration expiry);
    ~BudgetPeers() override;

    void reserve(const std::string &peer, const ReservationRequest &request, Duration timeout,
                 std::function<void(absl::Status)> callback) override;
    /// Asks a peer to return a portion of this gateway to the ledger. This gateway must spend no more tokens of it.
    void handOver(const std::string &peer, const BudgetId &budget, const PortionId &portion, std::int64_t spentTokens);

    void settle(const std::string &peer, const RequestId &call, std::int64_t usedTokens) override;

private:
    struct Pending {
        std::function<void(absl::Status)> callback;
        TimerId timer = 0;
        Instant sentAt{};
        /// Until this time, a peer that answers other calls may let this call wait.
        Instant deadline{};
    };

    struct Link {
        MessageStreamPointer stream;
        /// Time of the peer's last answer.
        Instant lastAnswerAt = Instant::min();
        absl::flat_hash_map<RequestId, Pending> pending;
    };

    bool send(const std::string &peer, std::string frame);
    void handleAnswer(const std::string &peer, const std::string &frame);
    void handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status);
    void handleTimeout(const std::string &peer, const RequestId &call);
    void finish(const std::string &peer, const RequestId &call, const absl::Status &status);

    MessageClients &m_clients;
    const HomeDirectory &m_homes;
    TimerService &m_timers;
    const Duration m_expiry;
    std::map<std::string, Link> m_links;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
