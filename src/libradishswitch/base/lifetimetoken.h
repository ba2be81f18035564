#pragma once

#include <memory>
#include <utility>

namespace RadishSwitch
{

/// Ties callbacks to the life of the object that holds the token: one that comes after the object's end is dropped
/// instead of reaching into freed memory.
class LifetimeToken
{
public:
    /// Wraps a callback that must not run once the token is gone.
    template<typename F>
    auto guard(F callback) const
    {
        return [life = std::weak_ptr<const bool>(m_life), callback = std::move(callback)](auto &&...arguments) {
            if (!life.expired()) {
                callback(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    const std::shared_ptr<const bool> m_life = std::make_shared<const bool>(true);
};

}
