#pragma once

#include "callrate.h"
#include "callstatistics.h"
#include "faultplan.h"
#include "httpserver.h"
#include "instancelist.h"
#include "objecttable.h"
#include "platformcall.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <mutex>
#include <random>

namespace RadishSwitch
{

struct PlatformSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Where the faults are set. Zero takes the port of the objects, so that connections can't be refused there.
    std::uint16_t controlPort = 0;
    bool hasControlPort = false;
    std::uint64_t seed = 1;
    FaultPlan faults;
};

/// The platform's object API over HTTP, with faults that can be switched on at `/standin/faults`, a lagging list of
/// instances fed at `/standin/instances`, and counts at `/standin/stats`.
///
/// One mutex guards the objects, the list, the faults and the counts; nothing waits while it is held.
class PlatformServer
{
public:
    PlatformServer(WorkerPool &workers, PlatformSettings settings);
    ~PlatformServer();

    absl::Status listen();

    std::uint16_t port() const;
    std::uint16_t controlPort() const;

    /// Answers the watches that wait, closes all connections after their requests, and calls back.
    void stop(std::function<void()> onStopped);

private:
    /// A watch that waits for a change, or for nothing when it is a silent one.
    struct Waiter {
        std::string prefix;
        bool isSilent = false;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> serveObjects(HttpExchange &exchange, const PlatformCall &call);
    boost::asio::awaitable<void> serveWatch(HttpExchange &exchange, const PlatformCall &call);
    boost::asio::awaitable<void> answer(HttpExchange &exchange, HttpResponse response);
    HttpResponse serveControl(const HttpRequest &request, const std::string &path);

    std::optional<HttpResponse> refuse(const PlatformCall &call);
    HttpResponse run(const PlatformCall &call);
    HttpResponse read(const PlatformCall &call);
    HttpResponse write(const PlatformCall &call);
    HttpResponse remove(const PlatformCall &call);
    bool takesAnswerAway(const PlatformCall &call);

    absl::Status setFaults(const std::string &text);
    absl::Status feedInstance(const std::string &text);
    void showDueInstances();
    void armListTimer();
    void wakeWatchers(const std::string &key);
    void wakeAllWatchers();
    static void wake(const Waiter &waiter);
    void setRefusing(bool refuses);
    boost::asio::awaitable<void> closeRetired();
    std::unique_ptr<HttpServer> makeServer();

    WorkerPool &m_workers;
    const PlatformSettings m_settings;
    std::unique_ptr<HttpServer> m_control;
    std::uint16_t m_port = 0;
    boost::asio::steady_timer m_listTimer;

    std::mutex m_mutex;
    std::unique_ptr<HttpServer> m_objects;
    /// Refuses connections from now on, and has yet to close those that are open.
    std::unique_ptr<HttpServer> m_retired;
    ObjectTable m_table;
    InstanceList m_instances;
    FaultPlan m_faults;
    CallStatistics m_statistics;
    CallRate m_readRate;
    CallRate m_writeRate;
    std::list<Waiter> m_waiters;
    std::mt19937_64 m_random;
    bool m_isStopping = false;
};

}
