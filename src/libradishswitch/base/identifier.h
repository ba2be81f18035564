#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace RadishSwitch
{

/// A name of one kind of thing. Two kinds do not mix: a portion's name is no request's name.
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

/// A request, the same through caller, entry, agent and endpoint. Made of the budget and the caller's idempotency key,
/// or fresh when the caller gave none.
using RequestId = Identifier<struct RequestTag>;
/// One try at running a request at one endpoint.
using AttemptId = Identifier<struct AttemptTag>;
/// A part of a budget handed to one holder.
using PortionId = Identifier<struct PortionTag>;
/// One life of one process: fresh at each start, never used again.
using IncarnationId = Identifier<struct IncarnationTag>;
/// An organisation (a customer).
using OrganisationId = Identifier<struct OrganisationTag>;
/// A pool of endpoints that serve the same thing.
using PoolId = Identifier<struct PoolTag>;
/// An endpoint instance: a replica of a model engine or of a plain service.
using EndpointId = Identifier<struct EndpointTag>;

/// A budget's full name: its organisation and its own name there.
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

    /// "organisation/name", as in records, logs and on the command line.
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
