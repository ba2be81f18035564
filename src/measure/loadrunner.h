#pragma once

#include "balancer.h"
#include "call.h"
#include "httpclient.h"
#include "loadfigures.h"
#include "loadsettings.h"
#include "workerpool.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace RadishSwitch
{

/// Offers a load and waits for its end.
class LoadRunner
{
public:
    LoadRunner(const LoadSettings &settings, int threads);
    ~LoadRunner();

    /// Returns the figures as JSON, when each request that was offered has its end.
    std::string run();

private:
    boost::asio::awaitable<void> offerOpenLoop();
    boost::asio::awaitable<void> offerClosedLoop();
    std::shared_ptr<const Call> nextCall();
    boost::asio::awaitable<void> perform(std::shared_ptr<const Call> call);
    boost::asio::awaitable<void> performDuplicate(std::shared_ptr<const Call> call);
    void spawn(boost::asio::awaitable<void> work);
    bool isOver() const;

    LoadSettings m_settings;
    WorkerPool m_workers;
    HttpClient m_client;
    Balancer m_balancer;
    LoadFigures m_figures;
    std::mutex m_factoryMutex;
    CallFactory m_factory;
    std::int64_t m_offered = 0;
    std::atomic<std::int64_t> m_endTime = 0;
    /// Coroutines that the load waits for.
    std::atomic<std::int64_t> m_open = 0;
};

}
