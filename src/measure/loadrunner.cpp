#include "loadrunner.h"

#include "caller.h"
#include "standinprogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <thread>

namespace RadishSwitch
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kEndCheckInterval(5);

asio::awaitable<void> sleepUntil(asio::steady_timer::time_point moment)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, moment);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}

LoadRunner::LoadRunner(const LoadSettings &settings, int threads)
    : m_settings(settings)
    , m_workers(threads)
    , m_client(m_workers)
    , m_balancer(m_client, settings.targets)
    , m_figures(settings.logFile)
    , m_factory(m_settings)
{
}

LoadRunner::~LoadRunner()
{
    m_workers.stop();
}

std::string LoadRunner::run()
{
    const std::int64_t startTime = recordTime();
    m_endTime = startTime + m_settings.duration.count();
    for (std::size_t n = 0; n < m_balancer.size(); ++n) {
        asio::co_spawn(asio::make_strand(m_workers.context()), m_balancer.watch(n), asio::detached);
    }
    if (m_settings.rate > 0) {
        spawn(offerOpenLoop());
    } else {
        for (int n = 0; n < m_settings.callers; ++n) {
            spawn(offerClosedLoop());
        }
    }
    m_workers.start();
    while (m_open > 0) {
        std::this_thread::sleep_for(kEndCheckInterval);
    }
    const Duration elapsed(recordTime() - startTime);
    m_workers.stop();
    return m_figures.toJson(m_settings.isDirect ? "direct_" : "", elapsed);
}

asio::awaitable<void> LoadRunner::offerOpenLoop()
{
    auto due = asio::steady_timer::clock_type::now();
    while (!isOver()) {
        if (auto call = nextCall()) {
            spawn(perform(std::move(call)));
        }
        {
            const std::lock_guard lock(m_factoryMutex);
            due += m_factory.arrivalInterval();
        }
        co_await sleepUntil(due);
    }
}

asio::awaitable<void> LoadRunner::offerClosedLoop()
{
    while (!isOver()) {
        const auto call = nextCall();
        if (!call) {
            co_return;
        }
        co_await perform(call);
    }
}

std::shared_ptr<const Call> LoadRunner::nextCall()
{
    const std::lock_guard lock(m_factoryMutex);
    if (m_settings.maximumRequests > 0 && m_offered >= m_settings.maximumRequests) {
        m_endTime = 0;
        return nullptr;
    }
    ++m_offered;
    return std::make_shared<const Call>(m_factory.next());
}

asio::awaitable<void> LoadRunner::perform(std::shared_ptr<const Call> call)
{
    m_figures.addRequest(*call);
    if (call->isDuplicated) {
        spawn(performDuplicate(call));
    }
    Caller caller(m_settings, m_client, m_balancer, m_figures, call);
    co_await caller.perform(0);
}

asio::awaitable<void> LoadRunner::performDuplicate(std::shared_ptr<const Call> call)
{
    co_await sleepUntil(asio::steady_timer::clock_type::now() + m_settings.duplicateDelay);
    Caller caller(m_settings, m_client, m_balancer, m_figures, call);
    co_await caller.perform(kFirstDuplicateNumber);
}

void LoadRunner::spawn(asio::awaitable<void> work)
{
    ++m_open;
    asio::co_spawn(asio::make_strand(m_workers.context()), std::move(work), [this](std::exception_ptr error) {
        --m_open;
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

bool LoadRunner::isOver() const
{
    return recordTime() >= m_endTime;
}

}
