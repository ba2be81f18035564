#include "adminserver.h"
#include "loopbackfixture.h"

#include <gmock/gmock.h>

using namespace RadishSwitch;

TEST(MetricsTest, text_countersAndGauges_areInOrderWithEscapedLabels)
{
    Metrics metrics;
    metrics.gauge("queue", "Requests that wait.", {{"pool", "a\"b\\c\nd"}}).set(2.5);
    metrics.counter("answered_total", "Requests answered.", {{"org", "m"}}).add(3);
    metrics.counter("answered_total", "Requests answered.", {{"org", "a"}}).add();

    EXPECT_EQ(metrics.toText(),
              "# HELP answered_total Requests answered.\n"
              "# TYPE answered_total counter\n"
              "answered_total{org=\"a\"} 1\n"
              "answered_total{org=\"m\"} 3\n"
              "# HELP queue Requests that wait.\n"
              "# TYPE queue gauge\n"
              "queue{pool=\"a\\\"b\\\\c\\nd\"} 2.5\n");
}

TEST(MetricsTest, text_histogram_countsValuesOutsideItsRangeToo)
{
    Metrics metrics;
    Histogram &histogram = metrics.histogram("wait_seconds", "Time.", HistogramRange{1, 100, 2});
    for (const double value : {0.0, 0.5, 2.0, 50.0, 1000.0}) {
        histogram.record(value);
    }

    EXPECT_EQ(metrics.toText(),
              "# HELP wait_seconds Time.\n"
              "# TYPE wait_seconds histogram\n"
              "wait_seconds_bucket{le=\"10\"} 3\n"
              "wait_seconds_bucket{le=\"100\"} 4\n"
              "wait_seconds_bucket{le=\"+Inf\"} 5\n"
              "wait_seconds_sum 1052.5\n"
              "wait_seconds_count 5\n");
}

TEST(MetricsTest, quantile_ofLatencies_isWithinOneBucket)
{
    Histogram histogram(kLatencyRange);
    for (int n = 1; n <= 100; ++n) {
        histogram.record(std::chrono::milliseconds(n));
    }

    EXPECT_GE(histogram.quantile(0.95), 0.095);
    EXPECT_LE(histogram.quantile(0.95), 0.095 * 1.34);
}

TEST(MetricsTest, metric_askedForAgain_isTheSame)
{
    Metrics metrics;

    EXPECT_EQ(&metrics.counter("a", ""), &metrics.counter("a", ""));
    EXPECT_NE(&metrics.counter("a", "", {{"x", "1"}}), &metrics.counter("a", "", {{"x", "2"}}));
}

TEST(MetricsTest, counting_fromManyThreads_losesNothing)
{
    constexpr int kThreads = 4;
    constexpr int kRounds = 10000;
    Metrics metrics;
    Histogram &histogram = metrics.histogram("h", "");
    Counter &counter = metrics.counter("c", "");
    std::vector<std::thread> threads;
    for (int n = 0; n < kThreads; ++n) {
        threads.emplace_back([&] {
            for (int round = 0; round < kRounds; ++round) {
                histogram.record(0.01);
                counter.add();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }

    EXPECT_EQ(counter.value(), kThreads * kRounds);
    EXPECT_EQ(histogram.count(), kThreads * kRounds);
}

class AdminServerTest : public LoopbackFixture
{
protected:
    AdminServerTest()
        : admin(workers, metrics)
    {
        admin.handle("/extra", [](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            HttpResponse response;
            response.body = "more";
            (void)co_await exchange.respond(std::move(response));
        });
        EXPECT_TRUE(admin.listen("127.0.0.1", 0).ok());
    }

    ~AdminServerTest() override
    {
        workers.stop();
    }

    HttpResponse get(const std::string &target)
    {
        HttpRequest request;
        request.target = target;
        const auto response = fetch("127.0.0.1:" + std::to_string(admin.port()), request);
        EXPECT_TRUE(response.ok()) << response.status();
        return response.value_or(HttpResponse());
    }

    Metrics metrics;
    AdminServer admin;
};

TEST_F(AdminServerTest, readyz_followsReadiness_whileLivezStaysGood)
{
    EXPECT_EQ(get("/readyz").status, 503);
    admin.setReady(true);
    EXPECT_EQ(get("/readyz").status, 200);
    admin.setReady(false);
    EXPECT_EQ(get("/readyz").status, 503);
    EXPECT_EQ(get("/livez").status, 200);
}

TEST_F(AdminServerTest, paths_knownAndAdded_areServedAndOthersAreNot)
{
    metrics.counter("seen_total", "Seen.").add(5);

    EXPECT_THAT(get("/metrics").body, testing::HasSubstr("seen_total 5\n"));
    EXPECT_EQ(get("/extra?with=query").body, "more");
    EXPECT_EQ(get("/other").status, 404);
}
