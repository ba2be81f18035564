#include "standinprogram.h"

#include "signals.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <latch>

namespace RadishSwitch
{

void runUntilStopped(WorkerPool &workers, const SocketAddress &address)
{
    std::latch stopped(1);
    const Signals signals(workers, [&stopped] {
        stopped.count_down();
    });
    workers.start();
    std::cout << "listening " << address.toString() << std::endl;
    stopped.wait();
    workers.stop();
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
