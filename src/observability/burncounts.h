#pragma once

#include <cstdint>

namespace oriolerill::observability {

/// Number of finished requests by outcome.
struct BurnCounts
{
    /// Complete answers, including late ones.
    std::uint64_t answered = 0;
    /// Complete answers whose first byte was later than the objective's target.
    std::uint64_t late = 0;
    /// Refused and certainly not executed.
    std::uint64_t refused = 0;
    /// Truncated answers.
    std::uint64_t cut = 0;
    /// Requests that may or may not have been executed.
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
