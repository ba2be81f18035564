#include "goldensession.h"

#include "base/fingerprint.h"
#include "recordedexchange.h"
#include "requests/claim.h"
#include "requests/keyowner.h"
#include "requestsession.h"

using namespace RadishSwitch;

namespace
{

constexpr std::int64_t kTokens = 1000;
constexpr Duration kLinkDelay = std::chrono::milliseconds(1);
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);
constexpr char kEntry[] = "entry-1";
constexpr char kCaller[] = "shop";
constexpr char kApiKey[] = "key-of-the-shop";

HomeSettings settings()
{
    HomeSettings settings;
    settings.ownership.isWatching = false;
    return settings;
}

TableRows rows()
{
    OrganisationRow magnolia;
    magnolia.name = OrganisationId("magnolia");
    magnolia.keySha256 = {sha256Hex(kApiKey)};
    PoolRow engines;
    engines.name = PoolId("engines");
    engines.models = {"quilt"};
    PoolRow orders;
    orders.name = PoolId("orders");
    orders.kind = PoolKind::Service;
    orders.nonIdempotent = {{"POST", "/blinds"}};
    orders.tokensPerCall = 20;
    TableRows rows;
    rows.organisations = {magnolia};
    rows.pools = {engines, orders};
    rows.routes = {{"chat", OrganisationId(kAnyOrganisation), "quilt", PoolId("engines")},
                   {"order", OrganisationId(kAnyOrganisation), "orders", PoolId("orders")}};
    return rows;
}

}

GoldenSession::GoldenSession()
    : m_store(kEntry, m_memoryStore, recorder, loop.timers, kStoreDelay, tellObject)
    , m_courier(recorder, loop.timers, kLinkDelay)
    , m_portion(loop.tasks, "portion-1", kTokens)
    , m_reservations(std::string("home of ") + kEntry, m_portion, recorder)
    , m_table(1, rows())
{
    m_home = std::make_unique<Home>(
        HomePorts{loop.timers, loop.tasks, m_random, m_store, m_port, m_reservations, m_directory},
        KeyOwner{IncarnationId(kEntry), kEntry, "south-central", 0}, settings());
    m_homes = std::make_unique<RecordedHomes>(recorder, kEntry, *m_home, m_monitor);
    m_gate.applyTable(m_table);
    for (const std::string name : {"agent-1", "agent-2"}) {
        m_agentSides.push_back(std::make_unique<GoldenAgent>(name, loop, recorder, *m_agents.table(name)));
        m_clients.handle(name, [agent = m_agentSides.back().get()](const auto &stream) {
            agent->serve(stream);
        });
        listEndpoint(name);
    }
}

GoldenSession::~GoldenSession() = default;

GoldenAgent &GoldenSession::agent(int n)
{
    return *m_agentSides.at(static_cast<std::size_t>(n - 1));
}

// The first agent's engine answers chats, the second one's service takes orders; so who runs what does not hang on the
// router's dice.
void GoldenSession::listEndpoint(const std::string &name)
{
    for (const std::string pool : {"engines", "orders"}) {
        EndpointReport report;
        report.endpoint = EndpointId(name + "-" + pool);
        report.incarnation = IncarnationId();
        report.sequence = 1;
        report.pool = PoolId(pool);
        report.address = name;
        report.zone = name == "agent-1" ? "zone-a" : "zone-b";
        report.region = "south-central";
        report.models = {"quilt"};
        report.load.capacity = 4;
        m_gate.applyReport(report);
    }
}

void GoldenSession::call(const std::string &target, const std::string &body, const std::string &key)
{
    HttpRequest request{"POST", target, HttpHeaders{{"Authorization", std::string("Bearer ") + kApiKey}}, body};
    std::string text = "POST " + target + " " + body;
    if (!key.empty()) {
        request.headers.add("Idempotency-Key", key);
        text += ", key " + key;
    }
    recorder.sends(kCaller, kEntry, text);
    loop.advance(kLinkDelay);
    const absl::StatusOr<RunPlan> plan = planRun(request, m_table, "fresh-" + std::to_string(++m_calls), 0.5);
    ASSERT_TRUE(plan.ok()) << plan.status();
    const SessionServices services{loop.timers, m_random, m_clients, m_port, *m_homes, m_gate, m_journal};
    RecordedExchange exchange(recorder, kEntry, kCaller, request);
    {
        RequestSession session(services, exchange, *plan);
        (void)loop.run(session.run());
    }
    loop.advance(kLinkDelay);
}

std::string GoldenSession::tellObject(const std::string &key, const std::string &value)
{
    if (key.starts_with("keyowners/")) {
        const auto owner = decodeKeyOwner(value);
        return owner->incarnation.value() + ", epoch " + std::to_string(owner->epoch);
    }
    const auto claims = decodeClaims(value);
    std::string text;
    for (const Claim &claim : *claims) {
        text += text.empty() ? "" : ", ";
        text += claim.state == ClaimState::Claimed ? "claimed" : claim.state == ClaimState::Done ? "done" : "not run";
    }
    return text;
}

void GoldenSession::tellSums()
{
    std::int64_t runs = 0;
    std::int64_t words = 0;
    std::int64_t charged = 0;
    for (const auto &agent : m_agentSides) {
        runs += agent->engineRuns();
        words += agent->engineTokens();
        charged += agent->chargedTokens();
    }
    const std::int64_t billed = kTokens - m_portion.free() - m_portion.reserved() - m_portion.withheld();
    recorder.tells("Sums");
    recorder.sums("runs at engines", runs, "runs");
    recorder.sums("words from engines", words);
    recorder.sums("charged by agents, prompts and words", charged);
    recorder.sums("billed", billed);
    recorder.sums("still reserved", m_portion.reserved());
    recorder.sums("withheld", m_portion.withheld());
    recorder.sums("left in the portion", m_portion.free());
    EXPECT_EQ(billed, charged);
    EXPECT_EQ(m_portion.reserved(), 0);
    EXPECT_EQ(m_portion.withheld(), 0);
}
