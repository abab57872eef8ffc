#pragma once

#include <cstdint>

namespace oriolerill::observability {

/// Finished requests by how they ended.
struct BurnCounts
{
    /// Whole answers, late ones included.
    std::uint64_t answered = 0;
    /// Whole answers whose first byte came after the objective's target.
    std::uint64_t late = 0;
    /// Refused with proof that they never ran.
    std::uint64_t refused = 0;
    /// Answers that broke off.
    std::uint64_t cut = 0;
    /// Requests that may or may not have run.
    std::uint64_t unknown = 0;

    std::uint64_t failed() const { return refused + cut + unknown; }
    std::uint64_t total() const { return answered + failed(); }
    BurnCounts &operator+=(const BurnCounts &other)
    {
        answered += other.answered;
        late += other.late;
        refused += other.refused;
        cut += other.cut;
        unknown += other.unknown;
        return *this;
    }
    friend bool operator==(const BurnCounts &, const BurnCounts &) = default;
};

} // namespace oriolerill::observability
