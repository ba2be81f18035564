#pragma once

#include "enginesettings.h"

#include <absl/status/status.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// What the engine has loaded.
struct EngineConfiguration {
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::string role = "serve";

    bool operator==(const EngineConfiguration &) const = default;
};

/// Takes orders to load and unload, each with the fencing number of whoever gives it. Safe on any thread.
class EngineOrders
{
public:
    explicit EngineOrders(const EngineSettings &settings);

    /// Carries out {"fence": n, "action": ..., "name": ...}; actions are load_model, unload_model, load_adapter,
    /// unload_adapter, set_version and set_role. StaleFence for a number lower than one seen before, if the engine
    /// checks them; InvalidRequest for what it can't read.
    absl::Status execute(const std::string &document);

    EngineConfiguration configuration() const;

    /// {"orders": [...]}: all that took effect, in order.
    std::string toJson() const;

private:
    struct Order {
        std::int64_t fence = 0;
        std::string action;
        std::string name;
        std::int64_t time = 0;
    };

    absl::Status apply(const Order &order);

    mutable std::mutex m_mutex;
    bool m_isFenceChecked;
    std::int64_t m_highestFence = 0;
    EngineConfiguration m_configuration;
    std::vector<Order> m_orders;
};

}
