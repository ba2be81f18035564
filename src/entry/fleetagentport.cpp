#include "fleetagentport.h"

#include "agentlife.h"
#include "unarycall.h"
#include "wire.h"
#include "wireconversion.h"

namespace RadishSwitch
{

namespace
{

constexpr Duration kAgentCallTimeout = std::chrono::milliseconds(1500);

// Reads the answering frame and hands over what `convert` makes of it.
template<typename Answer, typename Result>
std::function<void(absl::StatusOr<std::string>)> answering(std::function<void(absl::StatusOr<Result>)> callback,
                                                           std::function<Result(const Answer &)> convert)
{
    return [callback = std::move(callback), convert = std::move(convert)](absl::StatusOr<std::string> frame) {
        if (!frame.ok()) {
            return callback(frame.status());
        }
        const absl::StatusOr<Answer> answer = parseFrame<Answer>(*frame);
        if (!answer.ok()) {
            return callback(answer.status());
        }
        callback(convert(*answer));
    };
}

}

FleetAgentPort::FleetAgentPort(MessageClients &clients, TimerService &timers, AddressSource addresses, GoneTest isGone)
    : m_clients(clients)
    , m_timers(timers)
    , m_addresses(std::move(addresses))
    , m_isGone(std::move(isGone))
{
}

std::vector<std::string> FleetAgentPort::agentAddresses() const
{
    return m_addresses();
}

bool FleetAgentPort::isGone(const std::string &agentAddress) const
{
    return m_isGone(agentAddress);
}

void FleetAgentPort::findRuns(const std::string &agentAddress, std::vector<RequestId> requests, std::uint32_t shard,
                              std::uint64_t epoch, std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback)
{
    const AgentLife life = AgentLife::parse(agentAddress);
    wire::FindRunsRequest message;
    message.set_agent_incarnation(life.incarnation.value());
    message.set_shard(shard);
    message.set_epoch(epoch);
    for (const RequestId &request : requests) {
        message.add_request_ids(request.value());
    }
    const auto convert = [agentAddress](const wire::FindRunsAnswer &answer) {
        std::vector<RunRecord> records;
        for (const wire::RunRecord &record : answer.runs()) {
            records.push_back(runRecordFromWire(record));
            records.back().agentAddress = agentAddress;
        }
        return records;
    };
    unaryCall(*m_clients.client(life.address), m_timers, "/find", message.SerializeAsString(), kAgentCallTimeout,
              answering<wire::FindRunsAnswer, std::vector<RunRecord>>(std::move(callback), convert));
}

void FleetAgentPort::closePortions(const std::string &agentAddress, std::vector<PortionId> portions,
                                   std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback)
{
    const AgentLife life = AgentLife::parse(agentAddress);
    wire::ClosePortionsRequest message;
    message.set_agent_incarnation(life.incarnation.value());
    for (const PortionId &portion : portions) {
        message.add_portion_ids(portion.value());
    }
    const auto convert = [](const wire::ClosePortionsAnswer &answer) {
        std::vector<PortionCharges> charges;
        for (const wire::PortionCharges &portion : answer.portions()) {
            charges.push_back(portionChargesFromWire(portion));
        }
        return charges;
    };
    unaryCall(*m_clients.client(life.address), m_timers, "/close", message.SerializeAsString(), kAgentCallTimeout,
              answering<wire::ClosePortionsAnswer, std::vector<PortionCharges>>(std::move(callback), convert));
}

void FleetAgentPort::bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt,
                         RunStop stop, std::function<void(absl::StatusOr<RunRecord>)> callback)
{
    const AgentLife life = AgentLife::parse(agentAddress);
    wire::BarRequest message;
    message.set_agent_incarnation(life.incarnation.value());
    message.set_request_id(request.value());
    message.set_attempt_id(attempt.value());
    message.set_cancel(stop != RunStop::Never);
    message.set_unless_read(stop == RunStop::IfUnread);
    const auto convert = [agentAddress](const wire::RunRecord &answer) {
        RunRecord record = runRecordFromWire(answer);
        record.agentAddress = agentAddress;
        return record;
    };
    unaryCall(*m_clients.client(life.address), m_timers, "/bar", message.SerializeAsString(), kAgentCallTimeout,
              answering<wire::RunRecord, RunRecord>(std::move(callback), convert));
}

}
