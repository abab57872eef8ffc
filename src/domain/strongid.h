#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace oriolerill::domain {

/// A textual identifier; identifiers of different kinds have different types.
template<class Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

using VmId = StrongId<struct VmTag>;
using EntryId = StrongId<struct EntryTag>;
using EndpointId = StrongId<struct EndpointTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RegionId = StrongId<struct RegionTag>;
using AccountId = StrongId<struct AccountTag>;
using ServiceId = StrongId<struct ServiceTag>;
using ModelId = StrongId<struct ModelTag>;
using RolloutId = StrongId<struct RolloutTag>;
using RequestId = StrongId<struct RequestTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

} // namespace oriolerill::domain

template<class Tag>
struct std::hash<oriolerill::domain::StrongId<Tag>>
{
    std::size_t operator()(const oriolerill::domain::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
