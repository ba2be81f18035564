// A replica turns one request of each gateway away with Retry-After. While that time runs, its entry in the store
// lapses and comes back, since the replica had lost its path to the store for some seconds. The replica must get no
// more than two requests from a gateway until the time has ended.

#include "../standins-2/world.h"

using namespace review;

namespace
{

constexpr int kReplicas = 3;
constexpr int kGateways = 2;
constexpr double kHeartbeat = 1.2;
constexpr double kRetryAfter = 30;

struct Replica {
    std::string id;
    std::int64_t born = 0;
    int sequence = 0;
    std::unique_ptr<Server> server;
    std::atomic<bool> hasPathToStore{true};
    double lastBeat = 0;
};

}

int main(int, char **argv)
{
    const std::string folder = argv[1];
    Record record(folder + "/record.txt");
    Fleet fleet(folder);
    const bool isTroubled = hasTrouble();

    std::mutex mutex;
    std::map<std::string, int> gatewayOf;       // by attempt
    std::map<int, double> refusedAt;            // by gateway: when the replica turned a request away
    std::map<int, int> arrivals;                // by gateway: requests within the time
    std::atomic<bool> isFull{false};

    std::vector<std::unique_ptr<Replica>> replicas;
    for (int n = 0; n < kReplicas; ++n) {
        auto replica = std::make_unique<Replica>();
        replica->id = "i-" + std::to_string(n) + "f3a91c2";
        replica->born = wallMilliseconds();
        Replica *it = replica.get();
        replica->server = std::make_unique<Server>(fleet.replicaIp(n), [&, n, it](int fd, const Message &request) {
            const std::string id = request.header("Attempt-Id");
            if (request.target() == "/healthz" || request.target() == "/api/report") {
                return writeAll(fd, responseText(request.target() == "/healthz" ? 200 : 404, {{"Instance-Id", it->id}}, ""));
            }
            if (request.header("Expect-Instance") != it->id) {
                return writeAll(fd, responseText(421, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, ""));
            }
            int gateway = -1;
            bool isRefused = false;
            {
                const std::lock_guard lock(mutex);
                gateway = gatewayOf[id];
                if (n == 0 && isFull && !refusedAt.contains(gateway)) {
                    refusedAt[gateway] = now();
                    isRefused = true;
                } else if (n == 0 && refusedAt.contains(gateway)) {
                    const double since = now() - refusedAt[gateway];
                    if (since > 0.5 && since < kRetryAfter) {
                        ++arrivals[gateway];
                        record.line("replica 0 gets request " + id + " of gateway " + std::to_string(gateway) + ", "
                                    + std::to_string(since) + " s after its 503 with Retry-After "
                                    + std::to_string(static_cast<int>(kRetryAfter)));
                    }
                }
            }
            if (isRefused) {
                record.line("replica 0 answers 503 to request " + id + " of gateway " + std::to_string(gateway));
                return writeAll(fd, responseText(503,
                                                 {{"Attempt-Id", id}, {"Not-Executed", "1"},
                                                  {"Retry-After", std::to_string(static_cast<int>(kRetryAfter))}},
                                                 ""));
            }
            sleepFor(0.06);
            return writeAll(fd, responseText(200, {{"Attempt-Id", id}, {"Server-Signature", "sig." + id}},
                                             std::string(800, 'x')));
        });
        replicas.push_back(std::move(replica));
    }

    fleet.put("config", "main",
              configuration(7, Json::array({route("/sync/", "safe", "shop", 3000, 300, 2)}),
                            Json::array({tenant("hule930", "k1")})));
    std::atomic<bool> isRunning{true};
    // Replicas write to the store at each heartbeat; the store drops an entry after three of silence.
    std::thread heartbeats([&] {
        while (isRunning) {
            for (int n = 0; n < kReplicas; ++n) {
                Replica &it = *replicas[static_cast<std::size_t>(n)];
                if (it.hasPathToStore && now() - it.lastBeat >= kHeartbeat) {
                    it.lastBeat = now();
                    fleet.put("servers", it.id, entry("shop", it.server->address(), 6, "ready", it.born, ++it.sequence));
                }
                if (!it.hasPathToStore && it.lastBeat > 0 && now() - it.lastBeat >= 3 * kHeartbeat) {
                    record.line("the store removes the entry of replica " + std::to_string(n));
                    fleet.remove("servers", it.id);
                    it.lastBeat = 0;
                }
            }
            sleepFor(0.05);
        }
    });

    // The engines beside which the homes run; no request goes there.
    std::vector<std::unique_ptr<Server>> engines;
    for (int n = 0; n < 3; ++n) {
        engines.push_back(std::make_unique<Server>(fleet.replicaIp(20 + n), [](int fd, const Message &) {
            return writeAll(fd, responseText(200, {{"Content-Type", "application/json"}}, engineReport(1).dump()));
        }));
        fleet.startHome(n, engines.back()->address());
    }
    for (int n = 0; n < kGateways; ++n) {
        fleet.startGateway(n);
    }
    bool isReady = true;
    for (int n = 0; n < kGateways; ++n) {
        isReady = fleet.waitReady(n) && isReady;
    }

    // Clients: 20 requests a second at each gateway.
    std::atomic<int> served{0};
    std::atomic<int> sent{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < kGateways && isReady; ++n) {
        for (int c = 0; c < 4; ++c) {
            clients.emplace_back([&, n, c] {
                int count = 0;
                while (isRunning) {
                    const std::string id = "a" + std::to_string(n) + "c" + std::to_string(c) + "n" + std::to_string(++count);
                    {
                        const std::lock_guard lock(mutex);
                        gatewayOf[id] = n;
                    }
                    ++sent;
                    const Answer answer = exchange(fleet.gatewayIp(n), fleet.gatewayPort(),
                                                   requestText("GET", "/sync/2f",
                                                               {{"Host", "ficu95.example"}, {"Attempt-Id", id},
                                                                {"Deadline-Ms", "3000"}, {"Authorization", "Token k1"}},
                                                               ""),
                                                   4);
                    served += answer.message.status() == 200 ? 1 : 0;
                    sleepFor(0.14);
                }
            });
        }
    }

    const double begin = now() + 3;
    if (isReady) {
        sleepUntil(begin);
        record.line("replica 0 is full");
        isFull = true;
        sleepUntil(begin + 4);
        if (isTroubled) {
            record.line("replica 0 loses its path to the store");
            replicas[0]->hasPathToStore = false;
        }
        sleepUntil(begin + 13);
        if (isTroubled) {
            record.line("replica 0 reaches the store again");
            replicas[0]->hasPathToStore = true;
        }
        sleepUntil(begin + 24);
    }
    isRunning = false;
    for (std::thread &it : clients) {
        it.join();
    }
    heartbeats.join();

    int worst = 0;
    for (const auto &[gateway, count] : arrivals) {
        worst = std::max(worst, count);
        record.line("gateway " + std::to_string(gateway) + ": " + std::to_string(count)
                    + " requests at replica 0 within the time");
    }
    record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served));
    const bool couldRun = isReady && refusedAt.size() == kGateways && served > sent / 2;
    const int result = !couldRun ? 2 : worst > 2 ? 1 : 0;
    record.line("result " + std::to_string(result));
    std::printf("result %d: %d requests at most from one gateway\n", result, worst);
    return result;
}
