#pragma once

#include "objecttable.h"

#include <deque>
#include <optional>

namespace RadishSwitch
{

/// The platform's list of instances: shown as objects under "instances/", each change only after the list's lag.
class InstanceList
{
public:
    static constexpr char kPrefix[] = "instances/";

    /// Takes a change from JSON: an instance with all its members, or `{"name", "remove": true}`. It shows at `due`.
    /// InvalidRequest when it isn't of that form.
    absl::Status feed(const std::string &text, Instant due);

    /// Shows what is due in `table`. Gives the keys that changed.
    std::vector<std::string> showDue(ObjectTable &table, Instant now);

    /// When the next change is due, or nothing.
    std::optional<Instant> nextDue() const;

private:
    struct Change {
        Instant due;
        std::string key;
        /// Nothing for an instance that is gone.
        std::optional<std::string> value;
    };

    /// In the order in which they were fed: one with a shorter lag waits behind an earlier one.
    std::deque<Change> m_changes;
};

}
