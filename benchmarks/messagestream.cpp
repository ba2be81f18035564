#include "http2transport.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <ctime>
#include <fstream>
#include <semaphore>
#include <thread>

#include <unistd.h>

using namespace RadishSwitch;

namespace
{

/// As large as a streamed token with its envelope.
constexpr std::size_t kTokenFrameBytes = 120;
constexpr std::size_t kRequestFrameBytes = 600;

TransportSettings settings()
{
    TransportSettings settings;
    settings.fleetKey = "the key of the fleet";
    return settings;
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Answers each frame with one and finishes, as an agent does with a small request.
void answer(const MessageStreamPointer &stream)
{
    stream->start(
        [stream](std::string frame) {
            stream->send(std::move(frame));
            stream->finish();
        },
        [](const absl::Status &) {});
}

/// Sends frames, as fast as the receiver takes them, until the stream has closed.
class Pusher : public std::enable_shared_from_this<Pusher>
{
public:
    explicit Pusher(MessageStreamPointer stream)
        : m_stream(std::move(stream))
    {
    }

    void start()
    {
        const auto ignore = [](const std::string &) {};
        m_stream->start(ignore, [self = shared_from_this()](const absl::Status &) {
            self->m_isClosed = true;
        });
        push();
    }

private:
    void push()
    {
        constexpr std::size_t kBatchFrames = 1000;
        constexpr std::size_t kQueuedBytes = 64 * 1024;
        if (m_isClosed) {
            return;
        }
        for (std::size_t n = 0; n < kBatchFrames; ++n) {
            m_stream->send(std::string(kTokenFrameBytes, 't'));
        }
        m_stream->whenDrained(kQueuedBytes, [self = shared_from_this()] {
            self->push();
        });
    }

    const MessageStreamPointer m_stream;
    bool m_isClosed = false;
};

/// Both ends on one worker thread, so a figure holds the cost of both.
class LoopbackFixture : public benchmark::Fixture
{
public:
    void SetUp(benchmark::State &) override
    {
        workers = std::make_unique<WorkerPool>(1);
        server = std::make_unique<Http2MessageServer>(*workers, settings());
        server->handle("/answer", answer);
        server->handle("/echo", [](const MessageStreamPointer &stream) {
            stream->start(
                [stream](std::string frame) {
                    stream->send(std::move(frame));
                },
                [](const absl::Status &) {});
        });
        server->handle("/push", [](const MessageStreamPointer &stream) {
            std::make_shared<Pusher>(stream)->start();
        });
        if (!server->listen("127.0.0.1", 0).ok()) {
            std::abort();
        }
        clients = std::make_unique<MessageClients>(*workers, settings());
        client = clients->client("127.0.0.1:" + std::to_string(server->port()));
        workers->start();
    }

    void TearDown(benchmark::State &) override
    {
        workers->stop();
        client.reset();
        clients.reset();
        server.reset();
        workers.reset();
    }

    /// Opens streams one after another until `remaining` is used up.
    void openNext()
    {
        if (remaining.fetch_sub(1) <= 0) {
            if (--open == 0) {
                done.release();
            }
            return;
        }
        const MessageStreamPointer stream = client->open("/answer", std::string(kRequestFrameBytes, 'r'));
        stream->finish();
        stream->start([](const std::string &) {},
                      [this](const absl::Status &) {
                          openNext();
                      });
    }

    std::unique_ptr<WorkerPool> workers;
    std::unique_ptr<Http2MessageServer> server;
    std::unique_ptr<MessageClients> clients;
    std::shared_ptr<MessageClient> client;
    std::atomic<std::int64_t> remaining = 0;
    std::atomic<int> open = 0;
    std::binary_semaphore done{0};
};

}

BENCHMARK_DEFINE_F(LoopbackFixture, smallStreams)(benchmark::State &state)
{
    constexpr std::int64_t kStreams = 20'000;
    const int parallel = static_cast<int>(state.range(0));
    for (auto _ : state) {
        remaining = kStreams;
        open = parallel;
        for (int n = 0; n < parallel; ++n) {
            openNext();
        }
        done.acquire();
    }
    state.SetItemsProcessed(state.iterations() * kStreams);
}
BENCHMARK_REGISTER_F(LoopbackFixture, smallStreams)
    ->Arg(1)
    ->Arg(64)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

BENCHMARK_DEFINE_F(LoopbackFixture, framesOnOneStream)(benchmark::State &state)
{
    constexpr int kFrames = 500'000;
    for (auto _ : state) {
        int n = 0;
        const MessageStreamPointer stream = client->open("/push", "");
        stream->start(
            [&](const std::string &) {
                if (++n == kFrames) {
                    stream->cancel();
                }
            },
            [this](const absl::Status &) {
                done.release();
            });
        done.acquire();
    }
    state.SetItemsProcessed(state.iterations() * kFrames);
}
BENCHMARK_REGISTER_F(LoopbackFixture, framesOnOneStream)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

/// As the tokens of many answers: each stream has one frame under way at a time.
BENCHMARK_DEFINE_F(LoopbackFixture, frameRoundTripsOnManyStreams)(benchmark::State &state)
{
    constexpr int kFrames = 200'000;
    const int parallel = static_cast<int>(state.range(0));
    for (auto _ : state) {
        remaining = kFrames;
        open = parallel;
        for (int n = 0; n < parallel; ++n) {
            const MessageStreamPointer stream = client->open("/echo", std::string(kTokenFrameBytes, 't'));
            stream->start(
                [this, stream](std::string frame) {
                    if (remaining.fetch_sub(1) > 0) {
                        stream->send(std::move(frame));
                    } else {
                        stream->finish();
                    }
                },
                [this](const absl::Status &) {
                    if (--open == 0) {
                        done.release();
                    }
                });
        }
        done.acquire();
    }
    state.SetItemsProcessed(state.iterations() * kFrames);
}
BENCHMARK_REGISTER_F(LoopbackFixture, frameRoundTripsOnManyStreams)
    ->Arg(32)
    ->Arg(1000)
    ->MeasureProcessCPUTime()
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

/// What connections cost that only probe one another, both ends counted in.
BENCHMARK_DEFINE_F(LoopbackFixture, idleConnections)(benchmark::State &state)
{
    constexpr std::chrono::seconds kSpan(4);
    const auto connections = state.range(0);
    const double bytesBefore = residentBytes();
    std::vector<std::unique_ptr<MessageClients>> idle;
    std::atomic<std::int64_t> connecting = connections;
    for (int n = 0; n < connections; ++n) {
        idle.push_back(std::make_unique<MessageClients>(*workers, settings()));
        const MessageStreamPointer stream = idle.back()->client(client->address())->open("/answer", "");
        stream->start([](const std::string &) {},
                      [&](const absl::Status &) {
                          if (--connecting == 0) {
                              done.release();
                          }
                      });
    }
    done.acquire();
    state.counters["bytes_per_connection"] = (residentBytes() - bytesBefore) / static_cast<double>(connections);
    std::clock_t used = 0;
    for (auto _ : state) {
        const std::clock_t before = std::clock();
        std::this_thread::sleep_for(kSpan);
        used += std::clock() - before;
    }
    const double spans = static_cast<double>(state.iterations() * connections * kSpan.count());
    state.counters["cpu_us_per_connection_second"] = 1e6 * static_cast<double>(used) / CLOCKS_PER_SEC / spans;
}
BENCHMARK_REGISTER_F(LoopbackFixture, idleConnections)->Arg(500)->Iterations(1)->UseRealTime();
