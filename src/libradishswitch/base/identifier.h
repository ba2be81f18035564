#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace RadishSwitch
{

/// A string identifier with a type of its own for each kind of object, so that, for example, a PortionId cannot be
/// passed as a RequestId.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const Identifier &) const = default;
    bool operator==(const Identifier &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const Identifier &id)
    {
        return H::combine(std::move(h), id.m_value);
    }

    friend std::ostream &operator<<(std::ostream &out, const Identifier &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// Identifies a request; the same at the caller, the entry process, the agent and the endpoint. Derived from the budget
/// and the caller's idempotency key, or generated when the caller sent no key.
using RequestId = Identifier<struct RequestTag>;
/// Identifies one attempt to run a request at one endpoint.
using AttemptId = Identifier<struct AttemptTag>;
/// Identifies a portion: a part of a budget that one holder received to spend.
using PortionId = Identifier<struct PortionTag>;
/// Identifies one incarnation of a process: generated at each start and never reused.
using IncarnationId = Identifier<struct IncarnationTag>;
/// An organisation (a customer).
using OrganisationId = Identifier<struct OrganisationTag>;
/// A pool of endpoints that serve the same thing.
using PoolId = Identifier<struct PoolTag>;
/// An endpoint: an instance of a model engine or of a plain service.
using EndpointId = Identifier<struct EndpointTag>;
/// The version of the software that an endpoint runs, as opposed to that of its model's weights. Empty if not known.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/// The full name of a budget: its organisation, and its name within that organisation.
struct BudgetId {
    OrganisationId organisation;
    std::string name;

    auto operator<=>(const BudgetId &) const = default;
    bool operator==(const BudgetId &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const BudgetId &id)
    {
        return H::combine(std::move(h), id.organisation, id.name);
    }

    /// Returns "organisation/name", the form used in records, in logs and on the command line.
    std::string toString() const
    {
        return organisation.value() + "/" + name;
    }
};

}

template<typename Tag>
struct std::hash<RadishSwitch::Identifier<Tag>> {
    std::size_t operator()(const RadishSwitch::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
