#include "standinprogram.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <limits>

namespace RadishSwitch
{

namespace
{

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

}

absl::StatusOr<ListenAddress> parseListenAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port)
        || port > std::numeric_limits<std::uint16_t>::max()) {
        return makeFailure(FailureCode::InvalidSettings, "no address:port: " + text);
    }
    return ListenAddress{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void announceAndWaitForStop(const std::string &address, std::uint16_t port)
{
    std::cout << "listening " << address << ":" << port << std::endl;
    const sigset_t signals = stopSignals();
    int n = 0;
    sigwait(&signals, &n);
}

std::int64_t recordTime()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpResponse errorResponse(int status, const std::string &code, const std::string &message)
{
    const nlohmann::json error{{"code", code}, {"message", message}, {"type", "standin_error"}};
    return jsonResponse(status, nlohmann::json{{"error", error}}.dump());
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::string query("&");
    if (mark != std::string::npos) {
        query.append(target, mark + 1);
    }
    const auto place = query.find("&" + name + "=");
    if (place == std::string::npos) {
        return {};
    }
    const auto begin = place + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

}
