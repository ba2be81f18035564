#pragma once

#include "gateway.h"
#include "names.h"
#include "replicaserver.h"
#include "storeserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <future>

/// A gateway on loopback, with test servers in place of the platform's store and of two endpoints of one pool, "llm".
///
/// The test servers share one worker. Tests access them on that worker only, so that no data is shared between threads.
class GatewayFixture : public testing::Test
{
protected:
    using Json = nlohmann::json;
    using HttpRequest = RadishSwitch::HttpRequest;
    using HttpResponse = RadishSwitch::HttpResponse;
    using ReplicaServer = RadishSwitch::ReplicaServer;
    using StoreServer = RadishSwitch::StoreServer;
    using Duration = RadishSwitch::Duration;

    static constexpr Duration kTestTimeout = std::chrono::seconds(20);
    static constexpr char kKey[] = "key-of-magnolia";
    /// Start of the endpoints, in their entries and their reports.
    static constexpr std::int64_t kStartedAtMilliseconds = 1'000;

    GatewayFixture()
        : testServers(1)
        , callers(1)
        , store(testServers)
        , first(testServers, serverSettings("replica-1"))
        , second(testServers, serverSettings("replica-2"))
        , client(callers)
    {
        EXPECT_TRUE(store.listen("127.0.0.1", 0).ok());
        EXPECT_TRUE(first.listen("127.0.0.1", 0).ok());
        EXPECT_TRUE(second.listen("127.0.0.1", 0).ok());
        putConfiguration(1, 1'000'000);
        putEndpoint("replica-1", first.port(), "ready");
        testServers.start();
        callers.start();
    }

    ~GatewayFixture() override
    {
        otherGateway.reset();
        gateway.reset();
        callers.stop();
        testServers.stop();
    }

    static RadishSwitch::ReplicaSettings serverSettings(const std::string &id)
    {
        RadishSwitch::ReplicaSettings settings;
        settings.id = id;
        settings.startedAtMilliseconds = kStartedAtMilliseconds;
        return settings;
    }

    /// Runs a function on the worker of the test servers and returns its result.
    template<typename Work>
    auto onTestServers(Work work) -> decltype(work())
    {
        std::promise<decltype(work())> done;
        auto result = done.get_future();
        testServers.post([&] {
            if constexpr (std::is_void_v<decltype(work())>) {
                work();
                done.set_value();
            } else {
                done.set_value(work());
            }
        });
        return result.get();
    }

    /// To be called on the worker of the test servers, or before that worker is started.
    void putObject(const std::string &kind, const std::string &name, const Json &spec)
    {
        Json object{{"metadata", {{"name", name}}}, {"spec", spec}};
        if (store.table().create(kind, object).status == 409) {
            store.table().replace(kind, name, object);
        }
    }

    static Json endpointEntry(std::uint16_t port, const std::string &state,
                              std::int64_t startedAtMilliseconds = kStartedAtMilliseconds,
                              const std::string &softwareVersion = "v1")
    {
        return {{"service", "llm"},
                {"address", "127.0.0.1:" + std::to_string(port)},
                {"zone", "a"},
                {"version", softwareVersion},
                {"slots", 64},
                {"state", state},
                {"sequence", 0},
                {"cold-remaining-ms", 0},
                {"born", startedAtMilliseconds}};
    }

    /// A loopback address that only this process uses. On a shared address another process could get the port of a
    /// crashed endpoint and accept connections there.
    static std::string ownAddress(int n)
    {
        const int process = ::getpid();
        return "127." + std::to_string((process >> 8) % 256) + "." + std::to_string(process % 256) + "."
            + std::to_string(n + 2);
    }

    void putEndpoint(const std::string &id, std::uint16_t port, const std::string &state)
    {
        putObject("servers", id, endpointEntry(port, state));
    }

    static Json route(const std::string &prefix, const std::string &kind, int attempts, bool isResumable)
    {
        return {{"name", prefix},  {"host", "shop.example"}, {"path-prefix", prefix},
                {"kind", kind},    {"timeout-ms", 8000},     {"target-latency-ms", 400},
                {"priority", 0},   {"service", "llm"},       {"max-attempts", attempts},
                {"public", false}, {"sticky", true},         {"resumable", isResumable}};
    }

    Json configuration(int version, std::int64_t reserved)
    {
        Json routes = Json::array({route("/resumable/", "streaming", 2, true), route("/once/", "streaming", 1, false),
                                   route("/safe/", "safe", 2, false), route("/order/", "unsafe", 1, false)});
        for (const std::string &prefix : extraRoutes) {
            routes.push_back(route(prefix, "safe", 2, false));
        }
        return {{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "llm"}, {"max-connections", 100}, {"inference-engine", {{"slots", 64}, {"stride", 7}}}}}},
                {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 100000}, {"idle-timeout-ms", 15000}}},
                {"tenants", {{{"name", "magnolia"}, {"api-keys", {kKey}}, {"reserved", reserved}}}}};
    }

    void putConfiguration(int version, std::int64_t reserved)
    {
        putObject("config", "main", configuration(version, reserved));
    }

    /// Lists the second endpoint, and waits until it receives calls.
    void addSecond()
    {
        onTestServers([this] {
            putEndpoint("replica-2", second.port(), "ready");
        });
        waitUntil([this] {
            const auto response = call(request("/safe/1", "warm"));
            return response.ok() && response->headers.find(RadishSwitch::PlatformNames::kSignature) == "replica-2.warm";
        });
    }

    virtual RadishSwitch::GatewaySettings gatewaySettings()
    {
        RadishSwitch::GatewaySettings settings;
        settings.log.level = RadishSwitch::LogLevel::Off;
        settings.listen = {"127.0.0.1", 0};
        settings.peerListen = {"127.0.0.1", 0};
        settings.adminListen = {"127.0.0.1", 0};
        settings.platform = {"127.0.0.1", store.port()};
        settings.region = "south";
        settings.zone = "a";
        settings.drainNotice = std::chrono::milliseconds(50);
        settings.drainTimeout = std::chrono::seconds(6);
        return settings;
    }

    /// Starts the gateway, and waits until it reports that it is ready.
    void start()
    {
        gateway.reset();
        gateway = startGateway(gatewaySettings());
    }

    /// Starts a second gateway of the same fleet, and waits until it reports that it is ready.
    void startOther()
    {
        RadishSwitch::GatewaySettings settings = gatewaySettings();
        settings.instance = "gateway-of-other-callers";
        otherGateway = startGateway(settings);
    }

    std::unique_ptr<RadishSwitch::Gateway> startGateway(const RadishSwitch::GatewaySettings &settings)
    {
        auto started = std::make_unique<RadishSwitch::Gateway>(settings);
        EXPECT_TRUE(started->start().ok());
        HttpRequest ready;
        ready.target = "/readyz";
        waitUntil([&] {
            const auto response = fetchFrom(started->adminPort(), ready);
            return response.ok() && response->status == 200;
        });
        return started;
    }

    /// Evaluates the condition repeatedly until it holds; fails the test after `kTestTimeout`.
    template<typename Condition>
    void waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + kTestTimeout;
        while (!condition()) {
            ASSERT_LT(std::chrono::steady_clock::now(), end) << "the condition did not hold in time";
        }
    }

    absl::StatusOr<HttpResponse> fetchFrom(std::uint16_t port, HttpRequest request, Duration wait = kTestTimeout)
    {
        auto work = client.fetch("127.0.0.1:" + std::to_string(port), std::move(request), wait);
        return boost::asio::co_spawn(callers.context(), std::move(work), boost::asio::use_future).get();
    }

    static HttpRequest request(const std::string &target, const std::string &call)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"Host", "shop.example"},
                           {RadishSwitch::PlatformNames::kCallId, call},
                           {RadishSwitch::PlatformNames::kPatience, "6000"},
                           {RadishSwitch::PlatformNames::kAuthorization, std::string("Token ") + kKey}};
        request.body = "hello";
        return request;
    }

    /// A call that is answered by a stream of `maximumOutput` / 7 events.
    static HttpRequest streamRequest(const std::string &target, const std::string &call, int maximumOutput = 70)
    {
        HttpRequest it = request(target, call);
        it.headers.add("Model", "m");
        it.headers.add(RadishSwitch::PlatformNames::kTokenBounds, "100," + std::to_string(maximumOutput));
        it.headers.add(RadishSwitch::PlatformNames::kPromptParts, "aa:40,bb:30,cc:30");
        return it;
    }

    absl::StatusOr<HttpResponse> call(HttpRequest request)
    {
        return fetchFrom(gateway->port(), std::move(request));
    }

    static std::string wholeStream(const std::string &call, int events)
    {
        std::string text;
        for (int id = 1; id <= events; ++id) {
            text += ReplicaServer::eventText(call, id);
        }
        return text;
    }

    /// How many times a call has run, at both endpoints together.
    int runs(const std::string &call)
    {
        return onTestServers([&] {
            int sum = 0;
            for (const ReplicaServer *it : {&first, &second}) {
                const auto found = it->runs().find(call);
                sum += found == it->runs().end() ? 0 : found->second.runs;
            }
            return sum;
        });
    }

    void addFaults(ReplicaServer::Fault fault, int count)
    {
        onTestServers([&] {
            first.addFaults(fault, count);
            second.addFaults(fault, count);
        });
    }

    std::vector<std::string> extraRoutes;
    RadishSwitch::WorkerPool testServers;
    RadishSwitch::WorkerPool callers;
    StoreServer store;
    ReplicaServer first;
    ReplicaServer second;
    RadishSwitch::HttpClient client;
    std::unique_ptr<RadishSwitch::Gateway> gateway;
    std::unique_ptr<RadishSwitch::Gateway> otherGateway;
};
