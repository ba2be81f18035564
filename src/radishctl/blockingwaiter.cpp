#include "blockingwaiter.h"

#include <future>
#include <memory>
#include <thread>

namespace RadishSwitch
{

BlockingWaiter::BlockingWaiter(TaskQueue &tasks)
    : m_tasks(tasks)
{
}

void BlockingWaiter::wait(const std::function<void(std::function<void()> done)> &start)
{
    const auto finished = std::make_shared<std::promise<void>>();
    std::future<void> future = finished->get_future();
    m_tasks.post([start, finished] {
        start([finished] {
            finished->set_value();
        });
    });
    future.wait();
}

void BlockingWaiter::pause(Duration span)
{
    std::this_thread::sleep_for(span);
}

}
