#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace oriolerill::domain {

/// An integer with a unit; quantities with different units have different types.
template<class Unit>
class Quantity
{
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::uint64_t count)
        : m_count(count)
    {}

    constexpr std::uint64_t count() const { return m_count; }

    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
    friend constexpr auto operator<=>(Quantity, Quantity) = default;
    friend std::ostream &operator<<(std::ostream &stream, Quantity quantity)
    {
        return stream << quantity.m_count;
    }

private:
    std::uint64_t m_count = 0;
};

using Bytes = Quantity<struct BytesUnit>;
using BytesPerSecond = Quantity<struct BytesPerSecondUnit>;
/// Identifies a start of a process on its VM; a later start has a higher number.
using Incarnation = Quantity<struct IncarnationUnit>;
/// Orders the commands to an engine; an engine refuses a number below the highest it has received.
using FencingNumber = Quantity<struct FencingNumberUnit>;

} // namespace oriolerill::domain

template<class Unit>
struct std::hash<oriolerill::domain::Quantity<Unit>>
{
    std::size_t operator()(oriolerill::domain::Quantity<Unit> quantity) const noexcept
    {
        return std::hash<std::uint64_t>{}(quantity.count());
    }
};
