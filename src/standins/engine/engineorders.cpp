#include "engineorders.h"

#include "base/failure.h"
#include "standinprogram.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

void insertName(std::vector<std::string> &names, const std::string &name)
{
    std::erase(names, name);
    names.push_back(name);
}

}

EngineOrders::EngineOrders(const EngineSettings &settings)
    : m_isFenceChecked(settings.isFenceChecked)
    , m_configuration{settings.models, settings.adapters, settings.version}
{
}

absl::Status EngineOrders::execute(const std::string &document)
{
    const std::lock_guard lock(m_mutex);
    Order order;
    try {
        const auto parsed = nlohmann::json::parse(document);
        order = Order{parsed.at("fence").get<std::int64_t>(), parsed.at("action").get<std::string>(),
                      parsed.value("name", std::string()), recordTime()};
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(FailureCode::InvalidRequest, error.what());
    }
    if (m_isFenceChecked && order.fence < m_highestFence) {
        return makeFailure(FailureCode::StaleFence, "a later holder has given orders");
    }
    const absl::Status status = apply(order);
    if (status.ok()) {
        m_highestFence = std::max(m_highestFence, order.fence);
        m_orders.push_back(order);
    }
    return status;
}

EngineConfiguration EngineOrders::configuration() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration;
}

std::string EngineOrders::toJson() const
{
    const std::lock_guard lock(m_mutex);
    auto list = nlohmann::json::array();
    for (const Order &order : m_orders) {
        list.push_back(
            {{"fence", order.fence}, {"action", order.action}, {"name", order.name}, {"time_us", order.time}});
    }
    return nlohmann::json{{"orders", list}}.dump();
}

absl::Status EngineOrders::apply(const Order &order)
{
    if (order.action == "load_model") {
        insertName(m_configuration.models, order.name);
    } else if (order.action == "unload_model") {
        std::erase(m_configuration.models, order.name);
    } else if (order.action == "load_adapter") {
        insertName(m_configuration.adapters, order.name);
    } else if (order.action == "unload_adapter") {
        std::erase(m_configuration.adapters, order.name);
    } else if (order.action == "set_version") {
        m_configuration.version = order.name;
    } else if (order.action == "set_role") {
        m_configuration.role = order.name;
    } else {
        return makeFailure(FailureCode::InvalidRequest, "no such action: " + order.action);
    }
    return absl::OkStatus();
}

}
