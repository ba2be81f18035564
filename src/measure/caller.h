#pragma once

#include "answerreader.h"
#include "balancer.h"
#include "call.h"
#include "httpclient.h"
#include "loadfigures.h"
#include "loadsettings.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace RadishSwitch
{

/// A caller that wants one call answered, and asks again with the same key where the answer was lost.
class Caller
{
public:
    Caller(const LoadSettings &settings, HttpClient &client, Balancer &balancer, LoadFigures &figures,
           std::shared_ptr<const Call> call);

    /// Tries until the caller is satisfied or gives up. A duplicate of a call counts its tries from `firstNumber`.
    boost::asio::awaitable<void> perform(int firstNumber);

private:
    struct Attempt {
        TryRecord record;
        TryTimes times;
        /// How long the refusal asks the caller to wait.
        Duration retryAfter = Duration::zero();
    };

    boost::asio::awaitable<Attempt> attempt(std::string target, int number);
    boost::asio::awaitable<void> readAnswer(HttpResponseStream &stream, Attempt &attempt);
    boost::asio::awaitable<void> readBody(HttpResponseStream &stream, Attempt &attempt);
    boost::asio::awaitable<void> readEvents(HttpResponseStream &stream, Attempt &attempt);
    bool isRetried(const Attempt &attempt, int tries) const;

    const LoadSettings &m_settings;
    HttpClient &m_client;
    Balancer &m_balancer;
    LoadFigures &m_figures;
    std::shared_ptr<const Call> m_call;
};

}
