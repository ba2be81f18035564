#pragma once

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace RadishSwitch
{

/// The availability zones that operators have closed: their endpoints get no new calls, and calls in flight there are
/// finished.
///
/// An order to close a zone holds from when it is received until it is known to be withdrawn. A full list replaces all
/// of them, so that neither a missed withdrawal keeps a zone closed for ever nor a missed order keeps one open. An
/// order may name a zone without endpoints, and all zones may be closed.
class ZoneCordons
{
public:
    /// Replaces the closed zones with the complete list at one moment.
    void replaceAll(const std::vector<std::string> &zones);

    void close(const std::string &zone);

    /// The order to close the zone was withdrawn.
    void open(const std::string &zone);

    bool isClosed(const std::string &zone) const
    {
        return m_closed.contains(zone);
    }

    /// Whether a complete list was received. Before that it is not known which zones are open.
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
