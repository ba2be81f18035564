#include "loadmessages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace RadishSwitch
{

namespace
{

constexpr double kPerMille = 1000;

std::uint64_t microseconds(Duration time)
{
    return static_cast<std::uint64_t>(std::max(time, Duration::zero()).count());
}

Duration timeOf(std::uint64_t microseconds)
{
    constexpr auto kLongest = static_cast<std::uint64_t>(std::numeric_limits<Duration::rep>::max());
    return Duration(static_cast<Duration::rep>(std::min(microseconds, kLongest)));
}

std::uint32_t numberToWire(double number)
{
    constexpr double kHighest = std::numeric_limits<std::uint32_t>::max();
    return std::isnan(number) ? 0 : static_cast<std::uint32_t>(std::clamp(std::round(number), 0.0, kHighest));
}

int countOf(std::uint32_t count)
{
    constexpr auto kHighest = static_cast<std::uint32_t>(std::numeric_limits<int>::max());
    return static_cast<int>(std::min(count, kHighest));
}

}

wire::EndpointLoadReport endpointLoadToWire(const EndpointLoadReport &report)
{
    wire::EndpointLoadReport message;
    message.set_address(report.address);
    message.set_started_at_ms(report.startedAtMilliseconds);
    message.set_running(static_cast<std::uint32_t>(std::max(report.running, 0)));
    message.set_waiting(static_cast<std::uint32_t>(std::max(report.waiting, 0)));
    message.set_event_interval_us(microseconds(report.eventInterval));
    message.set_idle_event_interval_us(microseconds(report.idleEventInterval));
    message.set_longest_pause_us(microseconds(report.longestPause));
    message.set_expected_wait_us(microseconds(report.expectedWait));
    message.set_memory_permille(numberToWire(report.memoryShare * kPerMille));
    message.set_age_us(microseconds(report.age));
    return message;
}

EndpointLoadReport endpointLoadFromWire(const wire::EndpointLoadReport &message)
{
    EndpointLoadReport report;
    report.address = message.address();
    report.startedAtMilliseconds = message.started_at_ms();
    report.running = countOf(message.running());
    report.waiting = countOf(message.waiting());
    report.eventInterval = timeOf(message.event_interval_us());
    report.idleEventInterval = timeOf(message.idle_event_interval_us());
    report.longestPause = timeOf(message.longest_pause_us());
    report.expectedWait = timeOf(message.expected_wait_us());
    report.memoryShare = message.memory_permille() / kPerMille;
    report.age = timeOf(message.age_us());
    return report;
}

wire::GatewayLoadReport gatewayLoadToWire(const GatewayLoadReport &report)
{
    wire::GatewayLoadReport message;
    message.set_gateway(report.gateway);
    message.set_zone(report.zone);
    message.set_fullness_permille(numberToWire(report.fullness * kPerMille));
    message.set_link_mbps(numberToWire(report.linkMbps));
    message.set_is_diverting(report.isDiverting);
    message.set_age_us(microseconds(report.age));
    return message;
}

GatewayLoadReport gatewayLoadFromWire(const wire::GatewayLoadReport &message)
{
    GatewayLoadReport report;
    report.gateway = message.gateway();
    report.zone = message.zone();
    report.fullness = message.fullness_permille() / kPerMille;
    report.linkMbps = message.link_mbps();
    report.isDiverting = message.is_diverting();
    report.age = timeOf(message.age_us());
    return report;
}

wire::LoadNews loadNewsToWire(const LoadCollector::News &news)
{
    wire::LoadNews message;
    for (const EndpointLoadReport &it : news.endpoints) {
        *message.add_endpoints() = endpointLoadToWire(it);
    }
    for (const GatewayLoadReport &it : news.gateways) {
        *message.add_gateways() = gatewayLoadToWire(it);
    }
    return message;
}

LoadCollector::News loadNewsFromWire(const wire::LoadNews &message)
{
    LoadCollector::News news;
    for (const wire::EndpointLoadReport &it : message.endpoints()) {
        news.endpoints.push_back(endpointLoadFromWire(it));
    }
    for (const wire::GatewayLoadReport &it : message.gateways()) {
        news.gateways.push_back(gatewayLoadFromWire(it));
    }
    return news;
}

}
