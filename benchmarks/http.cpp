#include "httpclient.h"
#include "httpserver.h"
#include "workerpool.h"

#include <utility>

#include <benchmark/benchmark.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <ctime>
#include <future>
#include <vector>

using namespace RadishSwitch;

namespace
{

constexpr Duration kTimeout = std::chrono::seconds(30);
constexpr int kPieces = 1000;

boost::asio::awaitable<void> answer(HttpExchange &exchange)
{
    if (exchange.request().target == "/small") {
        HttpResponse response;
        response.body = "0123456789";
        (void)co_await exchange.respond(std::move(response));
        co_return;
    }
    (void)co_await exchange.beginStream(200, HttpHeaders());
    for (int n = 0; n < kPieces; ++n) {
        (void)co_await exchange.write("data: {\"token\":\"abc\"}\n\n");
    }
    (void)co_await exchange.endStream();
}

/// A server and a client on one thread each, so that their processor times can be told apart.
class Loopback
{
public:
    Loopback()
        : serverWorkers(1)
        , clientWorkers(1)
        , client(clientWorkers)
        , server(serverWorkers, {}, answer)
    {
        (void)server.listen("127.0.0.1", 0);
        address = "127.0.0.1:" + std::to_string(server.port());
        serverWorkers.start();
        clientWorkers.start();
    }

    ~Loopback()
    {
        clientWorkers.stop();
        serverWorkers.stop();
    }

    /// Processor seconds of the thread of `workers` so far.
    static double secondsOf(WorkerPool &workers)
    {
        std::promise<double> seconds;
        workers.post([&seconds] {
            timespec spent{};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
            seconds.set_value(static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9);
        });
        return seconds.get_future().get();
    }

    WorkerPool serverWorkers;
    WorkerPool clientWorkers;
    HttpClient client;
    HttpServer server;
    std::string address;
};

boost::asio::awaitable<void> askMany(HttpClient &client, std::string address, std::string target, int n)
{
    HttpRequest request;
    request.target = std::move(target);
    for (int i = 0; i < n; ++i) {
        (void)co_await client.fetch(address, request, kTimeout);
    }
}

/// Reads an answer as it comes.
boost::asio::awaitable<void> readMany(HttpClient &client, std::string address, std::string target, int n)
{
    HttpRequest request;
    request.target = std::move(target);
    for (int i = 0; i < n; ++i) {
        const auto stream = co_await client.open(address, request, kTimeout);
        bool isOpen = stream.ok();
        while (isOpen) {
            const auto piece = co_await (*stream)->read(kTimeout);
            isOpen = piece.ok() && !piece->empty();
        }
    }
}

using Ask = boost::asio::awaitable<void> (*)(HttpClient &, std::string, std::string, int);

/// Callers that each ask one request after the other; counts what a core of either side can do.
void serve(benchmark::State &state, Ask ask, const std::string &target, int requestsEach, double itemsOfRequest)
{
    const int callers = static_cast<int>(state.range(0));
    Loopback loopback;
    double items = 0;
    const double serverBefore = Loopback::secondsOf(loopback.serverWorkers);
    const double clientBefore = Loopback::secondsOf(loopback.clientWorkers);
    for (auto _ : state) {
        std::vector<std::future<void>> done;
        for (int n = 0; n < callers; ++n) {
            done.push_back(boost::asio::co_spawn(loopback.clientWorkers.context(),
                                                 ask(loopback.client, loopback.address, target, requestsEach),
                                                 boost::asio::use_future));
        }
        for (std::future<void> &one : done) {
            one.get();
        }
        items += itemsOfRequest * requestsEach * callers;
    }
    state.counters["per_server_core"] = items / (Loopback::secondsOf(loopback.serverWorkers) - serverBefore);
    state.counters["per_client_core"] = items / (Loopback::secondsOf(loopback.clientWorkers) - clientBefore);
}

void BM_smallRequests(benchmark::State &state)
{
    serve(state, askMany, "/small", 200, 1);
}
BENCHMARK(BM_smallRequests)->Arg(1)->Arg(32)->UseRealTime();

void BM_streamedPieces(benchmark::State &state)
{
    serve(state, readMany, "/stream", 2, kPieces);
}
BENCHMARK(BM_streamedPieces)->Arg(1)->Arg(32)->UseRealTime();

}
