#include "gatewayfixture.h"

#include <atomic>
#include <deque>
#include <thread>

using namespace RadishSwitch;

/// Prompts with a part that crashes every endpoint which begins to answer them, no two of them alike, beside sound
/// prompts that share their other parts and their organisation. Endpoints are back a while after they crashed.
class PoisonPartsTest : public GatewayFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;
    using Clock = std::chrono::steady_clock;

    static constexpr int kEndpoints = 10;
    static constexpr char kPoison[] = "bad1";
    static constexpr char kOtherPoison[] = "bad2";
    /// The first part of all prompts.
    static constexpr char kSystemPrompt[] = "5a5a";
    static constexpr Duration kRestartTime = Milliseconds(1500);
    /// Number of crashes from which on the time to bar the part counts, and that time.
    static constexpr int kKnownCrashes = 5;
    static constexpr Duration kPropagationTime = std::chrono::seconds(3);
    /// Maximum number of poison prompts that reach endpoints after that time.
    static constexpr int kMaximumLateRuns = 3;
    static constexpr Milliseconds kPoisonPause{170};
    static constexpr Milliseconds kSoundPause{25};

    PoisonPartsTest()
    {
        for (int n = 0; n < kEndpoints; ++n) {
            startEndpoint(n);
        }
    }

    // The endpoints are destroyed before the members of the base class, so everything that uses them is stopped first.
    ~PoisonPartsTest() override
    {
        stopTraffic();
        thirdGateway.reset();
        otherGateway.reset();
        gateway.reset();
        testServers.stop();
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        // Calls must not be refused because the test machine is busy.
        settings.takesAllCalls = true;
        return settings;
    }

    /// On the worker of the test servers, or before it is in use.
    void startEndpoint(int n)
    {
        ReplicaSettings settings = serverSettings("engine-" + std::to_string(n) + "-" + std::to_string(++m_starts));
        settings.crashingParts = {kPoison, kOtherPoison};
        Endpoint &it = endpoints.emplace_back(n, testServers, settings);
        EXPECT_TRUE(it.server.listen(ownAddress(n), 0).ok());
        Json entry = endpointEntry(it.server.port(), "ready", m_starts);
        entry["address"] = ownAddress(n) + ":" + std::to_string(it.server.port());
        putObject("servers", settings.id, entry);
        it.id = settings.id;
    }

    /// Endpoints that have crashed leave the list and start again under new ids, as the platform does it.
    void restartCrashed()
    {
        const auto now = Clock::now();
        std::vector<int> due;
        for (Endpoint &it : endpoints) {
            if (!it.server.hasCrashed() || it.isReplaced) {
                continue;
            }
            it.crashedAt = it.crashedAt.value_or(now);
            if (now - *it.crashedAt >= kRestartTime) {
                it.isReplaced = true;
                store.table().remove("servers", it.id, std::nullopt);
                due.push_back(it.place);
            }
        }
        for (const int place : due) {
            startEndpoint(place);
        }
    }

    void startFleet()
    {
        onTestServers([this] {
            store.table().remove("servers", "replica-1", std::nullopt);
        });
        start();
        startOther();
        GatewaySettings settings = gatewaySettings();
        settings.instance = "third-gateway";
        thirdGateway = startGateway(settings);
    }

    Gateway &gatewayOf(int n)
    {
        Gateway *const gateways[] = {gateway.get(), otherGateway.get(), thirdGateway.get()};
        return *gateways[n % 3];
    }

    static HttpRequest prompt(const std::string &call, const std::string &parts)
    {
        HttpRequest it = request("/resumable/1", call);
        it.headers.add("Model", "m");
        it.headers.add(PlatformNames::kTokenBounds, "100,70");
        it.headers.add(PlatformNames::kPromptParts, parts);
        it.body = "prompt of " + call;
        return it;
    }

    static std::string poisonParts(const std::string &poison, int n)
    {
        return std::string(kSystemPrompt) + ":400," + poison + ":200," + std::to_string(700000 + n) + ":30";
    }

    /// Sound prompts: the same first part, one of a few middle parts, and a part of their own.
    static std::string soundParts(int n)
    {
        return std::string(kSystemPrompt) + ":400,c" + std::to_string(n % 7) + ":200," + std::to_string(800000 + n)
            + ":30";
    }

    /// Sends poison and sound prompts from threads of their own, and restarts endpoints, until `stopTraffic`.
    void startTraffic(std::vector<std::string> poisons = {kPoison})
    {
        m_isRunning = true;
        m_threads.emplace_back([this, poisons] {
            for (int n = 0; m_isRunning; ++n) {
                const std::string call = "poison-" + std::to_string(n);
                (void)fetchFrom(gatewayOf(n).port(), prompt(call, poisonParts(poisons[n % poisons.size()], n)),
                                std::chrono::seconds(2));
                std::this_thread::sleep_for(kPoisonPause);
            }
        });
        for (int thread = 0; thread < kSoundThreads; ++thread) {
            m_threads.emplace_back([this, thread] {
                for (int n = thread; m_isRunning; n += kSoundThreads) {
                    const std::string call = "sound-" + std::to_string(n);
                    const auto answer =
                        fetchFrom(gatewayOf(n).port(), prompt(call, soundParts(n)), std::chrono::seconds(2));
                    ++m_soundSent;
                    m_soundServed += answer.ok() && answer->status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(kSoundPause);
                }
            });
        }
        m_threads.emplace_back([this] {
            while (m_isRunning) {
                onTestServers([this] {
                    restartCrashed();
                });
                std::this_thread::sleep_for(Milliseconds(20));
            }
        });
    }

    void stopTraffic()
    {
        m_isRunning = false;
        for (std::thread &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    int crashes()
    {
        return onTestServers([this] {
            return static_cast<int>(std::ranges::count_if(endpoints, [](const Endpoint &it) {
                return it.server.hasCrashed();
            }));
        });
    }

    /// Number of poison prompts that endpoints have begun to run.
    int poisonRuns()
    {
        return onTestServers([this] {
            int sum = 0;
            for (const Endpoint &it : endpoints) {
                for (const auto &[call, run] : it.server.runs()) {
                    sum += call.starts_with("poison-") ? run.runs : 0;
                }
            }
            return sum;
        });
    }

    /// Waits for that many crashes, or for the last one if the parts are barred after fewer.
    void awaitCrashes(int count)
    {
        constexpr Duration kQuietTime = std::chrono::seconds(4);
        int known = 0;
        auto lastAt = Clock::now();
        while (known < count && (known == 0 || Clock::now() - lastAt < kQuietTime)) {
            std::this_thread::sleep_for(Milliseconds(10));
            if (const int now = crashes(); now > known) {
                known = now;
                lastAt = Clock::now();
            }
        }
    }

    /// The share of sound prompts that are served from now on for a time.
    double soundShare(Duration span)
    {
        const int sent = m_soundSent;
        const int served = m_soundServed;
        std::this_thread::sleep_for(span);
        return static_cast<double>(m_soundServed - served) / std::max(m_soundSent - sent, 1);
    }

    static constexpr int kSoundThreads = 3;

    struct Endpoint {
        Endpoint(int place, WorkerPool &workers, const ReplicaSettings &settings)
            : place(place)
            , server(workers, settings)
        {
        }

        int place = 0;
        std::string id;
        ReplicaServer server;
        std::optional<Clock::time_point> crashedAt;
        bool isReplaced = false;
    };

    std::deque<Endpoint> endpoints;
    std::unique_ptr<Gateway> thirdGateway;

private:
    int m_starts = 0;
    std::atomic<bool> m_isRunning = false;
    std::atomic<int> m_soundSent = 0;
    std::atomic<int> m_soundServed = 0;
    std::vector<std::thread> m_threads;
};

// Guards against ever new prompts with one part that crash one endpoint after the other.
TEST_F(PoisonPartsTest, promptsWithPoisonPart_reachAtMostThreeMoreEndpointsOnceKnown)
{
    startFleet();
    startTraffic();
    awaitCrashes(kKnownCrashes);
    std::this_thread::sleep_for(kPropagationTime);
    const int known = poisonRuns();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    EXPECT_LE(poisonRuns() - known, kMaximumLateRuns);
}

// Guards against a bar that refuses sound prompts, which share their first part and organisation with poison ones.
TEST_F(PoisonPartsTest, soundPromptsBesidePoisonPart_areServedAgainOnceItIsKnown)
{
    startFleet();
    startTraffic();
    awaitCrashes(kKnownCrashes);
    std::this_thread::sleep_for(2 * kPropagationTime);
    EXPECT_GE(soundShare(std::chrono::seconds(3)), 0.5);
}

// Guards against two poison parts whose crashes explain each other away.
TEST_F(PoisonPartsTest, twoPoisonPartsAtOnce_areBothBarred)
{
    startFleet();
    startTraffic({kPoison, kOtherPoison});
    awaitCrashes(2 * kKnownCrashes);
    std::this_thread::sleep_for(kPropagationTime);
    const int known = poisonRuns();
    std::this_thread::sleep_for(std::chrono::seconds(4));
    EXPECT_LE(poisonRuns() - known, 2 * kMaximumLateRuns);
    EXPECT_GE(soundShare(std::chrono::seconds(2)), 0.5);
}

// Guards against a gateway that no longer knows the poison parts after a restart.
TEST_F(PoisonPartsTest, gatewayStartedAfterTheCrashes_refusesPoisonPrompts)
{
    startFleet();
    startTraffic();
    awaitCrashes(kKnownCrashes);
    std::this_thread::sleep_for(kPropagationTime);
    stopTraffic();
    const int known = poisonRuns();
    start();
    std::this_thread::sleep_for(Milliseconds(500));
    for (int n = 0; n < 2; ++n) {
        const auto refused = call(prompt("poison-late-" + std::to_string(n), poisonParts(kPoison, 90'000 + n)));
        ASSERT_TRUE(refused.ok()) << refused.status();
        EXPECT_EQ(refused->status, 429) << refused->body;
        EXPECT_TRUE(refused->headers.find("Retry-After").has_value());
        EXPECT_NE(refused->body.find("\"not_run\""), std::string::npos) << refused->body;
    }
    EXPECT_EQ(poisonRuns(), known);
}
