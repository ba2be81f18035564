#pragma once

#include "base/timerservice.h"

#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>

namespace RadishSwitch
{

/// Waits in a coroutine for the one call of a callback, and goes on at the coroutine's own executor.
///
/// `start` gets the callback; it may be called on any thread, also under a lock: the coroutine goes on in a task of its
/// own and never inside the callback, where it could ask for the same lock again and wait for itself.
template<typename T, typename Start>
boost::asio::awaitable<T> awaitCallback(Start start)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    // Named, and not written inside the co_await: g++ 12 destroys a temporary closure of a co_await expression twice,
    // which frees the executor that it holds while others use it.
    const auto initiation = [executor](auto handler, Start start) {
        const auto held = std::make_shared<decltype(handler)>(std::move(handler));
        start([held, executor](T result) {
            boost::asio::post(executor, [held, result = std::move(result)]() mutable {
                (*held)(std::move(result));
            });
        });
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(T)>(
        initiation, boost::asio::use_awaitable, std::move(start));
}

/// Lets a span of the timer service pass, so that a pause is in virtual time where its caller is.
inline boost::asio::awaitable<void> awaitPause(TimerService &timers, Duration span)
{
    const auto start = [&timers, span](auto done) {
        timers.after(span, [done] {
            done(true);
        });
    };
    (void)co_await awaitCallback<bool>(start);
}

}
