#include "loadwire.h"

#include "base/failure.h"
#include "wireconversion.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace RadishSwitch
{

namespace
{

constexpr double kThousandths = 1000;

std::uint64_t timeToWire(Duration span)
{
    return static_cast<std::uint64_t>(std::max(span, Duration::zero()).count());
}

Duration timeFromWire(std::uint64_t microseconds)
{
    constexpr auto kMaximum = static_cast<std::uint64_t>(std::numeric_limits<Duration::rep>::max());
    return Duration(static_cast<Duration::rep>(std::min(microseconds, kMaximum)));
}

std::uint32_t countToWire(int count)
{
    return static_cast<std::uint32_t>(std::max(count, 0));
}

int countFromWire(std::uint32_t count)
{
    constexpr auto kMaximum = static_cast<std::uint32_t>(std::numeric_limits<int>::max());
    return static_cast<int>(std::min(count, kMaximum));
}

std::uint32_t numberToWire(double value)
{
    constexpr double kMaximum = std::numeric_limits<std::uint32_t>::max();
    return std::isnan(value) ? 0 : static_cast<std::uint32_t>(std::clamp(std::round(value), 0.0, kMaximum));
}

}

wire::EndpointLoadReport endpointLoadToWire(const EndpointLoadReport &report)
{
    wire::EndpointLoadReport message;
    message.set_address(report.address);
    message.set_started_at_ms(report.startedAtMilliseconds);
    message.set_running(countToWire(report.running));
    message.set_waiting(countToWire(report.waiting));
    message.set_event_interval_us(timeToWire(report.eventInterval));
    message.set_idle_event_interval_us(timeToWire(report.idleEventInterval));
    message.set_longest_pause_us(timeToWire(report.longestPause));
    message.set_expected_wait_us(timeToWire(report.expectedWait));
    message.set_memory_permille(numberToWire(report.memoryShare * kThousandths));
    message.set_age_us(timeToWire(report.age));
    return message;
}

EndpointLoadReport endpointLoadFromWire(const wire::EndpointLoadReport &message)
{
    EndpointLoadReport report;
    report.address = message.address();
    report.startedAtMilliseconds = message.started_at_ms();
    report.running = countFromWire(message.running());
    report.waiting = countFromWire(message.waiting());
    report.eventInterval = timeFromWire(message.event_interval_us());
    report.idleEventInterval = timeFromWire(message.idle_event_interval_us());
    report.longestPause = timeFromWire(message.longest_pause_us());
    report.expectedWait = timeFromWire(message.expected_wait_us());
    report.memoryShare = message.memory_permille() / kThousandths;
    report.age = timeFromWire(message.age_us());
    return report;
}

wire::GatewayLoadReport gatewayLoadToWire(const GatewayLoadReport &report)
{
    wire::GatewayLoadReport message;
    message.set_gateway(report.gateway);
    message.set_zone(report.zone);
    message.set_fullness_permille(numberToWire(report.fullness * kThousandths));
    message.set_link_mbps(numberToWire(report.linkMbps));
    message.set_is_diverting(report.isDiverting);
    message.set_age_us(timeToWire(report.age));
    return message;
}

GatewayLoadReport gatewayLoadFromWire(const wire::GatewayLoadReport &message)
{
    GatewayLoadReport report;
    report.gateway = message.gateway();
    report.zone = message.zone();
    report.fullness = message.fullness_permille() / kThousandths;
    report.linkMbps = message.link_mbps();
    report.isDiverting = message.is_diverting();
    report.age = timeFromWire(message.age_us());
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

absl::StatusOr<wire::LoadMessage> parseLoadFrame(const std::string &frame)
{
    if (frame.size() > kMaximumLoadFrameBytes) {
        return makeFailure(FailureCode::MessageTooLarge, "the message about load is oversized");
    }
    absl::StatusOr<wire::LoadMessage> message = parseFrame<wire::LoadMessage>(frame);
    if (message.ok() && message->news().endpoints_size() + message->news().gateways_size() > kMaximumReportsPerFrame) {
        return makeFailure(FailureCode::MessageTooLarge, "the message about load has too many reports");
    }
    return message;
}

}
