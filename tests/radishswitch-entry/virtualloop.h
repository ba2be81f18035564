#pragma once

#include "manualtaskqueue.h"
#include "virtualtimerservice.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <stdexcept>

/// Runs coroutines on virtual time, on the test's own thread: what is ready goes first, then tasks, then the next
/// timer. Where nothing else is left, it waits for the few deadlines that the reading of messages has in real time.
class VirtualLoop
{
public:
    template<typename T>
    T run(boost::asio::awaitable<T> work)
    {
        std::optional<T> result;
        spawn<T>(std::move(work), [&result](T value) {
            result = std::move(value);
        });
        runUntil([&result] {
            return result.has_value();
        });
        return std::move(*result);
    }

    void run(boost::asio::awaitable<void> work)
    {
        bool isDone = false;
        boost::asio::co_spawn(io, std::move(work), [&isDone](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
            isDone = true;
        });
        runUntil([&isDone] {
            return isDone;
        });
    }

    template<typename T>
    void spawn(boost::asio::awaitable<T> work, std::function<void(T)> done)
    {
        boost::asio::co_spawn(io, std::move(work), [done = std::move(done)](std::exception_ptr error, T value) {
            if (error) {
                std::rethrow_exception(error);
            }
            done(std::move(value));
        });
    }

    /// Throws when nothing is left that could make the condition true, or when it has not come true in an hour.
    void runUntil(const std::function<bool()> &isDone)
    {
        const RadishSwitch::Instant end = timers.now() + std::chrono::hours(1);
        while (!isDone()) {
            if (timers.now() > end) {
                throw std::runtime_error("an hour was not enough");
            }
            if (!step() && !timers.fireNext() && io.run_one_for(std::chrono::seconds(5)) == 0) {
                throw std::runtime_error("nothing is left to run");
            }
        }
    }

    /// Runs all that is ready without letting time pass.
    void settle()
    {
        while (step()) { }
    }

    /// Lets time pass in small steps, running what falls due.
    void advance(RadishSwitch::Duration span)
    {
        constexpr RadishSwitch::Duration kStep = std::chrono::milliseconds(1);
        for (settle(); span > RadishSwitch::Duration::zero(); span -= kStep) {
            timers.advance(std::min(span, kStep));
            settle();
        }
    }

    boost::asio::io_context io;
    VirtualTimerService timers;
    ManualTaskQueue tasks;

private:
    bool step()
    {
        return io.poll() > 0 || tasks.runOne();
    }

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{io.get_executor()};
};
