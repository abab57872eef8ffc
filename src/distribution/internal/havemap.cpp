#include "distribution/havemap.h"

#include <algorithm>
#include <bit>

namespace oriolerill::distribution {

namespace {

constexpr std::size_t ByteBits = 8;
constexpr std::size_t WordBytes = HaveMap::WordBits / ByteBits;

} // namespace

HaveMap::HaveMap(std::size_t chunks)
    : m_size(chunks)
    , m_words((chunks + WordBits - 1) / WordBits)
{}

HaveMap HaveMap::fromBytes(std::string_view bytes, std::size_t chunks)
{
    HaveMap map(chunks);
    const std::size_t used = std::min(bytes.size(), (chunks + ByteBits - 1) / ByteBits);
    for (std::size_t i = 0; i < used; ++i) {
        const std::uint64_t byte = static_cast<unsigned char>(bytes[i]);
        map.m_words[i / WordBytes] |= byte << (ByteBits * (i % WordBytes));
    }
    const std::size_t tail = chunks % WordBits;
    if (tail != 0)
        map.m_words.back() &= (std::uint64_t(1) << tail) - 1;
    return map;
}

std::string HaveMap::toBytes() const
{
    std::string bytes((m_size + ByteBits - 1) / ByteBits, '\0');
    for (std::size_t i = 0; i < bytes.size(); ++i)
        bytes[i] = static_cast<char>(m_words[i / WordBytes] >> (ByteBits * (i % WordBytes)));
    return bytes;
}

std::size_t HaveMap::count() const
{
    std::size_t sum = 0;
    for (const std::uint64_t word : m_words)
        sum += static_cast<std::size_t>(std::popcount(word));
    return sum;
}

bool HaveMap::test(std::size_t chunk) const
{
    return chunk < m_size && (m_words[chunk / WordBits] >> (chunk % WordBits) & 1U) != 0;
}

void HaveMap::set(std::size_t chunk)
{
    m_words[chunk / WordBits] |= std::uint64_t(1) << (chunk % WordBits);
}

void HaveMap::reset(std::size_t chunk)
{
    m_words[chunk / WordBits] &= ~(std::uint64_t(1) << (chunk % WordBits));
}

void HaveMap::merge(const HaveMap &other)
{
    for (std::size_t i = 0; i < m_words.size(); ++i)
        m_words[i] |= other.m_words[i];
}

} // namespace oriolerill::distribution
