#pragma once

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace RadishSwitch
{

/// The availability zones whose endpoints get no new calls, by operators' orders. Calls under way there are finished.
///
/// An order holds from when it is first heard of until it is known to be taken back. A whole list is right about all of
/// them: a taking back that was missed does not close a zone for ever, nor does an order that was missed leave one
/// open. A zone may be named that has no endpoints, or all of them may be.
class ZoneCordons
{
public:
    /// All orders in force, as they stood at one moment.
    void replaceAll(const std::vector<std::string> &zones);

    void close(const std::string &zone);

    /// The order was taken back.
    void open(const std::string &zone);

    bool isClosed(const std::string &zone) const
    {
        return m_closed.contains(zone);
    }

    /// Whether the orders were listed at all. Before that nobody knows which zones are open.
    bool isKnown() const
    {
        return m_isKnown;
    }

    /// In alphabetical order.
    std::vector<std::string> closedZones() const;

private:
    absl::flat_hash_set<std::string> m_closed;
    bool m_isKnown = false;
};

}
