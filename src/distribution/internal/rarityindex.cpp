#include "distribution/internal/rarityindex.h"

#include <algorithm>
#include <bit>

namespace oriolerill::distribution::internal {

namespace {

std::size_t classOf(std::uint32_t count)
{
    return std::min<std::size_t>(std::bit_width(count), RarityIndex::Classes - 1);
}

} // namespace

RarityIndex::RarityIndex(std::size_t chunks)
    : m_counts(chunks)
{
    m_sizes[0] = chunks;
    m_classes.fill(HaveMap(chunks));
    for (std::size_t chunk = 0; chunk < chunks; ++chunk)
        m_classes[0].set(chunk);
}

void RarityIndex::change(std::size_t chunk, std::uint32_t count)
{
    const std::size_t before = classOf(m_counts[chunk]);
    const std::size_t after = classOf(count);
    m_counts[chunk] = count;
    if (before == after)
        return;
    m_classes[before].reset(chunk);
    m_classes[after].set(chunk);
    --m_sizes[before];
    ++m_sizes[after];
}

} // namespace oriolerill::distribution::internal
