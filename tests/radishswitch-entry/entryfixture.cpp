#include "entryfixture.h"

#include "wireconversion.h"

#include <boost/asio/post.hpp>

using namespace RadishSwitch;

namespace
{

constexpr char kPool[] = "engines";
constexpr char kChatBody[] =
    R"({"model":"quilt","messages":[{"role":"user","content":"hi"}],"max_tokens":80,"stream":true})";

}

FakeAgentPort::FakeAgentPort(VirtualLoop &loop)
    : m_loop(loop)
{
}

std::vector<std::string> FakeAgentPort::agentAddresses() const
{
    return {"agent-1:1", "agent-2:1"};
}

bool FakeAgentPort::isGone(const std::string &) const
{
    return areGone;
}

void FakeAgentPort::findRuns(const std::string &, std::vector<RequestId>, std::uint32_t, std::uint64_t,
                             std::function<void(absl::StatusOr<std::vector<RunRecord>>)> callback)
{
    callback(makeFailure(FailureCode::ConnectionLost, "not part of a session"));
}

void FakeAgentPort::closePortions(const std::string &, std::vector<PortionId>,
                                  std::function<void(absl::StatusOr<std::vector<PortionCharges>>)> callback)
{
    callback(makeFailure(FailureCode::ConnectionLost, "not part of a session"));
}

void FakeAgentPort::bar(const std::string &agentAddress, const RequestId &request, const AttemptId &attempt,
                        RunStop stop, std::function<void(absl::StatusOr<RunRecord>)> callback)
{
    barred.push_back({agentAddress, attempt, stop != RunStop::Never});
    absl::StatusOr<RunRecord> answer = makeFailure(FailureCode::ConnectionLost, "nobody is there");
    if (stateWhenBarred) {
        answer = RunRecord();
        answer->request = request;
        answer->attempt = attempt;
        answer->state = *stateWhenBarred;
    }
    boost::asio::post(m_loop.io, [callback = std::move(callback), answer] {
        callback(answer);
    });
}

EntryFixture::EntryFixture()
{
    // Without them the endpoints would be taken as lost before a lost run is given up, and "not sent twice" would hold
    // for want of a second endpoint.
    loop.timers.every(std::chrono::seconds(1), [this] {
        for (const auto &[name, capacity] : m_capacities) {
            report(name);
        }
    });
    for (const std::string name : {"agent-1", "agent-2"}) {
        listEndpoint(name);
        clients.handle(name + ":1", [this](const StreamPointer &stream) {
            RunRequest run;
            wire::AttachRequest attach;
            const bool isRun = stream->path == "/run";
            const bool isParsed =
                isRun ? run.ParseFromString(stream->firstFrame) : attach.ParseFromString(stream->firstFrame);
            ASSERT_TRUE(isParsed);
            m_agentSide(isRun ? m_runs++ : m_runs - 1, stream, isRun ? run.attempt_id() : attach.attempt_id());
        });
    }
}

void EntryFixture::listEndpoint(const std::string &name, std::uint32_t capacity, const std::string &softwareVersion)
{
    m_capacities[name] = capacity;
    m_softwareVersions[name] = softwareVersion;
    report(name);
}

void EntryFixture::report(const std::string &name)
{
    EndpointReport report;
    report.endpoint = EndpointId(name);
    report.incarnation = IncarnationId("life-of-" + name);
    report.sequence = ++m_reports;
    report.pool = PoolId(kPool);
    report.address = name + ":1";
    report.zone = "zone-a";
    report.region = "south-central";
    report.models = {"quilt"};
    report.load.capacity = m_capacities.at(name);
    report.softwareVersion = SoftwareVersion(m_softwareVersions.at(name));
    gate.applyReport(report);
}

RunPlan EntryFixture::chatPlan() const
{
    RunPlan plan;
    plan.request = RequestId("r-1");
    plan.budget = {OrganisationId("magnolia"), "main"};
    plan.pool = PoolId(kPool);
    plan.policy = "default";
    plan.model = "quilt";
    plan.method = "POST";
    plan.target = "/v1/chat/completions";
    plan.chat = *ChatRequest::parse(kChatBody);
    plan.body = plan.chat->engineBody();
    plan.isStreamed = true;
    plan.promptTokens = plan.chat->promptTokensBound();
    plan.worstCaseTokens = plan.chat->worstCaseTokens();
    plan.deadlineMilliseconds = 120'000;
    return plan;
}

RunPlan EntryFixture::orderPlan() const
{
    RunPlan plan = chatPlan();
    plan.chat.reset();
    plan.isStreamed = false;
    plan.isNonIdempotent = true;
    plan.isKeyed = true;
    plan.model.clear();
    plan.policy = "least-outstanding";
    plan.target = "/blinds";
    plan.body = "two blinds";
    return plan;
}

void EntryFixture::spendRetries()
{
    RetryQuery query;
    query.deadline = Instant::max();
    while (gate.retry(query).ok()) { }
}

absl::Status EntryFixture::serve(const RunPlan &plan, AgentSide agents)
{
    m_agentSide = std::move(agents);
    const SessionServices services{loop.timers, random, clients, this->agents, homes, gate, journal};
    absl::Status status;
    {
        RequestSession session(services, exchange, plan);
        status = loop.run(session.run());
    }
    loop.settle();
    return status;
}

std::vector<EntryFixture::RunRequest> EntryFixture::runsSent() const
{
    std::vector<RunRequest> runs;
    for (const StreamPointer &stream : clients.opened) {
        if (stream->path == "/run") {
            EXPECT_TRUE(runs.emplace_back().ParseFromString(stream->firstFrame));
        }
    }
    return runs;
}

wire::RunUpdate EntryFixture::head(const std::string &attempt, int status)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    update.mutable_head()->set_status(status);
    update.mutable_head()->set_content_type("text/event-stream");
    return update;
}

wire::RunUpdate EntryFixture::chunk(const std::string &attempt, std::uint64_t offset, const std::string &data)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    update.mutable_chunk()->set_offset(offset);
    update.mutable_chunk()->set_data(data);
    return update;
}

wire::RunUpdate EntryFixture::done(const std::string &attempt, std::int64_t chargedTokens)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    update.mutable_done()->set_charged_tokens(chargedTokens);
    return update;
}

wire::RunUpdate EntryFixture::refused(const std::string &attempt, const absl::Status &status)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    *update.mutable_refused() = failureToWire(status);
    return update;
}

wire::RunUpdate EntryFixture::silent(const std::string &attempt)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    update.mutable_silent()->set_silent_ms(3000);
    return update;
}

wire::RunUpdate EntryFixture::failed(const std::string &attempt, const absl::Status &status)
{
    RunUpdate update;
    update.set_attempt_id(attempt);
    *update.mutable_failed() = failureToWire(status);
    return update;
}

absl::Status EntryFixture::lost()
{
    return makeFailure(FailureCode::ConnectionLost, "cut");
}

std::string EntryFixture::token(const std::string &id, const std::string &text)
{
    return R"(data: {"id":")" + id + R"(","choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})" + "\n\n";
}
