#pragma once

#include "agents/agentport.h"
#include "http2transport.h"

#include <functional>
#include <vector>

namespace RadishSwitch
{

/// Asks agents over the fleet's streams. Addresses are those of AgentLife.
class FleetAgentPort : public AgentPort
{
public:
    using AddressSource = std::function<std::vector<std::string>()>;
    using GoneTest = std::function<bool(const std::string &)>;

    /// `addresses` names every agent that may hold a run; `isGone` tells whether one has left the platform's list.
    FleetAgentPort(MessageClients &clients, TimerService &timers, AddressSource addresses, GoneTest isGone);

    std::vector<std::string> agentAddresses() const override;
    bool isGone(const std::string &agentAddress) const override;

    void findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                  std::uint64_t epoch, std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback) override;

    void closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                       std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback) override;

    void bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt, RunStop stop,
             std::function<void(absl::StatusOr<RunRecord>)> callback) override;

private:
    MessageClients &m_clients;
    TimerService &m_timers;
    AddressSource m_addresses;
    GoneTest m_isGone;
};

}
