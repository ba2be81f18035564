#pragma once

#include "membership/entrydirectory.h"

#include <map>

/// An entry directory whose answers the test sets. Entry processes that it does not set are alive.
class MemoryEntryDirectory : public RadishSwitch::EntryDirectory
{
public:
    void setLiveness(const RadishSwitch::IncarnationId &incarnation, RadishSwitch::EntryLiveness liveness)
    {
        m_liveness[incarnation] = liveness;
    }

    RadishSwitch::EntryLiveness livenessOf(const RadishSwitch::IncarnationId &incarnation, const std::string &,
                                           const std::string &) const override
    {
        const auto it = m_liveness.find(incarnation);
        return it == m_liveness.end() ? RadishSwitch::EntryLiveness::Alive : it->second;
    }

private:
    std::map<RadishSwitch::IncarnationId, RadishSwitch::EntryLiveness> m_liveness;
};
