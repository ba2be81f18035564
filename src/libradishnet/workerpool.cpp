#include "workerpool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace RadishSwitch
{

WorkerPool::WorkerPool(int threads)
    : m_context(threads)
    , m_guard(boost::asio::make_work_guard(m_context))
    , m_size(threads)
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::start()
{
    for (int n = 0; n < m_size; ++n) {
        m_threads.emplace_back([this] {
            m_context.run();
        });
    }
}

void WorkerPool::stop()
{
    m_context.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void WorkerPool::post(std::function<void()> task)
{
    boost::asio::post(m_context, std::move(task));
}

boost::asio::any_io_executor WorkerPool::connectionExecutor()
{
    if (m_size == 1) {
        return m_context.get_executor();
    }
    return boost::asio::make_strand(m_context.get_executor());
}

boost::asio::io_context &WorkerPool::context()
{
    return m_context;
}

}
