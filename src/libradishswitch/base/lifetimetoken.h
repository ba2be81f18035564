#pragma once

#include <memory>
#include <utility>

namespace RadishSwitch
{

/// Ties callbacks to the lifetime of the object that holds the token. A callback that arrives after the object was
/// destroyed is dropped instead of accessing freed memory.
class LifetimeToken
{
public:
    /// Wraps a callback that must not run after the token was destroyed.
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
