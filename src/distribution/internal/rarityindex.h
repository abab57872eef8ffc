#pragma once

#include "distribution/havemap.h"

#include <array>
#include <cstdint>
#include <vector>

namespace oriolerill::distribution::internal {

/// Counts the holders of each chunk and groups the chunks by the magnitude of the count, so that
/// the rarest are found by a few word operations.
class RarityIndex
{
public:
    /// Class 0 holds the absent chunks, class k those with 2^(k-1) to 2^k - 1 holders.
    static constexpr std::size_t Classes = 18;

    explicit RarityIndex(std::size_t chunks);

    std::uint32_t count(std::size_t chunk) const { return m_counts[chunk]; }
    const HaveMap &members(std::size_t rarityClass) const { return m_classes[rarityClass]; }
    std::size_t size(std::size_t rarityClass) const { return m_sizes[rarityClass]; }
    const HaveMap &absent() const { return m_classes[0]; }
    void add(std::size_t chunk) { change(chunk, m_counts[chunk] + 1); }
    void remove(std::size_t chunk) { change(chunk, m_counts[chunk] - 1); }

private:
    void change(std::size_t chunk, std::uint32_t count);

    std::vector<std::uint32_t> m_counts;
    std::array<HaveMap, Classes> m_classes;
    std::array<std::size_t, Classes> m_sizes = {};
};

} // namespace oriolerill::distribution::internal
