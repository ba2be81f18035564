#pragma once

#include "taskqueue.h"

#include <utility>

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

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
    int m_size;
};

}
