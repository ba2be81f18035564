// One of three gateways freezes for four seconds. Half a second later the first replica with newer software joins its
// service. The clients of the frozen gateway give their streams up and take them up again at the others.
//
// TROUBLE=0 leaves both out, TROUBLE=freeze the new replica alone, TROUBLE=version the freeze alone.

#include "client.h"
#include "fleet.h"
#include "replica.h"

using namespace review;

namespace
{

constexpr int kGateways = 3;
constexpr int kReplicas = 4;
/// The rule counts from 12 streams on.
constexpr int kStreams = 20;
constexpr int kLeastStreams = 12;
constexpr int kNewStreams = 20;
/// 6 s a stream.
constexpr int kEvents = 40;
constexpr int kEventPauseMs = 150;
constexpr int kDeadlineMs = 12000;
/// Two seconds, or four times the objective of 600 ms, whichever is longer.
constexpr int kClientGapMs = 2400;
/// Tries at which a client takes its stream up; the sheet says one.
constexpr int kRetries = 3;
constexpr int kFreezeAtMs = 1000;
/// 4 s in the site file, one machine.
constexpr int kFreezeMs = 4000;
constexpr int kVersionAfterMs = 500;
constexpr int kNewStreamPauseMs = 100;

std::string trouble()
{
    const char *text = std::getenv("TROUBLE");
    return text ? text : "1";
}

std::string keyOf(int index)
{
    return "key-" + std::to_string(index % kTenants);
}

std::string promptHeaders(int index)
{
    return "Model: m\r\nToken-Usage: 100," + std::to_string(kEvents) + "\r\nPrefix-Hash: " + std::to_string(100 + index)
        + ":50,ab" + std::to_string(index) + ":50\r\n";
}

int lastEvent(const std::string &body)
{
    const std::size_t end = body.rfind("\n\n");
    const std::size_t begin = end == std::string::npos ? end : body.rfind("id: ", end);
    return begin == std::string::npos ? 0 : std::atoi(body.c_str() + begin + 4);
}

struct Tally {
    std::atomic<int> takenUp = 0;
    std::atomic<int> wentOn = 0;
    std::atomic<int> newStreams = 0;
    std::atomic<int> begun = 0;
};

void pauseAsTold(const Answer &answer)
{
    const auto after = answer.headers.find("retry-after");
    pause(after == answer.headers.end() ? 100 : static_cast<int>(1000 * std::atof(after->second.c_str())));
}

/// A stream that begins at gateway 0; broken off, it is taken up at the other gateways.
void readStream(Fleet &fleet, int index, Tally &tally)
{
    Record &record = fleet.record();
    const std::string who = "client-" + std::to_string(index);
    const std::string first = "draft-" + std::to_string(index);
    Answer answer;
    {
        ClientConnection connection(fleet.gatewayAddress(0), keyOf(index));
        record.line(who, "sends " + first);
        answer = connection.ask("POST", "/draft/1", first, promptHeaders(index), kDeadlineMs, kClientGapMs);
    }
    const int last = lastEvent(answer.body);
    record.line(who,
                "gets " + first + " status=" + std::to_string(answer.status)
                    + (answer.isComplete ? " complete" : " given-up") + " last-event=" + std::to_string(last));
    if (answer.isComplete || last == 0) {
        return;
    }
    ++tally.takenUp;
    bool wentOn = false;
    for (int n = 0; n < kRetries && !wentOn; ++n) {
        const std::string id = first + "-again-" + std::to_string(n);
        const std::string headers =
            promptHeaders(index) + "Resumes: " + first + "\r\nLast-Event-Id: " + std::to_string(last) + "\r\n";
        ClientConnection connection(fleet.gatewayAddress(1 + (index + n) % (kGateways - 1)), keyOf(index));
        record.line(who, "sends " + id + " after=" + std::to_string(last));
        const Answer again = connection.ask("POST", "/draft/1", id, headers, kDeadlineMs / 2, kClientGapMs);
        wentOn = again.status == 200 && lastEvent(again.body) > last;
        record.line(who,
                    "gets " + id + " status=" + std::to_string(again.status) + " "
                        + (wentOn ? "last-event=" + std::to_string(lastEvent(again.body)) : again.body));
        if (!wentOn) {
            pauseAsTold(again);
        }
    }
    tally.wentOn += wentOn ? 1 : 0;
}

void readNewStream(Fleet &fleet, int index, Tally &tally)
{
    const std::string id = "new-" + std::to_string(index);
    ClientConnection connection(fleet.gatewayAddress(1 + index % (kGateways - 1)), keyOf(index));
    ++tally.newStreams;
    fleet.record().line(id, "sends " + id);
    const Answer answer =
        connection.ask("POST", "/draft/1", id, promptHeaders(1000 + index), kDeadlineMs, kClientGapMs);
    const bool hasBegun = answer.status == 200 && lastEvent(answer.body) > 0;
    fleet.record().line(id,
                        "gets " + id + " status=" + std::to_string(answer.status)
                            + " last-event=" + std::to_string(lastEvent(answer.body)));
    tally.begun += hasBegun ? 1 : 0;
}

}

int main(int, char **argv)
{
    Record record(argv[1]);
    Fleet fleet(record);
    fleet.configure({{{"name", "draft"},
                      {"host", "shop.example"},
                      {"path-prefix", "/draft/"},
                      {"kind", "streaming"},
                      {"resumable", true},
                      {"sticky", true},
                      {"timeout-ms", kDeadlineMs},
                      {"target-latency-ms", 600},
                      {"target-gap-ms", 200},
                      {"priority", 1},
                      {"service", "drape-llm"},
                      {"max-attempts", 2}}},
                    {{{"name", "drape-llm"},
                      {"health-path", "/healthz"},
                      {"max-connections", 360},
                      {"inference-engine", {{"slots", 64}, {"stride", 1}}}}});
    const auto settingsOf = [&fleet](int index, const std::string &version) {
        ReplicaSettings settings;
        settings.id = "i-llm-" + std::to_string(index);
        settings.service = "drape-llm";
        settings.address = fleet.address(100 + index, 9000);
        settings.version = version;
        settings.eventPauseMs = kEventPauseMs;
        return settings;
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<Program *> gateways;
    for (int n = 0; n < kReplicas; ++n) {
        replicas.push_back(std::make_unique<Replica>(settingsOf(n, "v1"), fleet.store(), record));
        fleet.startHome(n, replicas.back()->settings().address);
    }
    for (int n = 0; n < kGateways; ++n) {
        gateways.push_back(&fleet.startGateway(n));
    }
    for (int n = 0; n < kGateways; ++n) {
        fleet.awaitReady(n);
    }
    record.say("all gateways are ready");
    // Longer than `stable-window-ms`, so that all machines are in touch.
    pause(3500);

    const bool isFreeze = isTrouble() && trouble() != "version";
    const bool isVersion = isTrouble() && trouble() != "freeze";
    Tally tally;
    std::vector<std::thread> clients;
    for (int n = 0; n < kStreams; ++n) {
        clients.emplace_back([&fleet, &tally, n] {
            readStream(fleet, n, tally);
        });
    }
    pause(kFreezeAtMs);
    if (isFreeze) {
        record.say("gateway 0 freezes");
        gateways.front()->signal(SIGSTOP);
    }
    pause(kVersionAfterMs);
    if (isVersion) {
        record.say("a replica with v2 joins");
        replicas.push_back(std::make_unique<Replica>(settingsOf(kReplicas, "v2"), fleet.store(), record));
    }
    for (int n = 0; n < kNewStreams; ++n) {
        clients.emplace_back([&fleet, &tally, n] {
            pause(n * kNewStreamPauseMs);
            readNewStream(fleet, n, tally);
        });
    }
    pause(kFreezeMs - kVersionAfterMs);
    if (isFreeze) {
        gateways.front()->signal(SIGCONT);
        record.say("gateway 0 wakes");
    }
    for (std::thread &it : clients) {
        it.join();
    }
    record.say("streams taken up again " + std::to_string(tally.takenUp) + ", of these gone on "
               + std::to_string(tally.wentOn) + "; new streams " + std::to_string(tally.newStreams)
               + ", of these begun " + std::to_string(tally.begun));
    // wentOn / takenUp < half of begun / newStreams
    const bool isBroken =
        tally.takenUp >= kLeastStreams && 2 * tally.wentOn * tally.newStreams < tally.begun * tally.takenUp;
    record.say(isBroken ? "LOST is broken" : "LOST held");
    fleet.finish(isBroken ? 1 : 0);
}
