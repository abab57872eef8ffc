#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::distribution {

/// Set of the chunks of one version, one bit per chunk.
class HaveMap
{
public:
    static constexpr std::size_t WordBits = 64;

    HaveMap() = default;
    explicit HaveMap(std::size_t chunks);
    /// Parses the encoding of SwarmReport.have. Bits beyond the size are ignored; missing bits are
    /// zero.
    static HaveMap fromBytes(std::string_view bytes, std::size_t chunks);
    std::string toBytes() const;

    std::size_t size() const { return m_size; }
    std::size_t count() const;
    bool isFull() const { return count() == m_size; }
    bool test(std::size_t chunk) const;
    void set(std::size_t chunk);
    void reset(std::size_t chunk);
    /// Adds all chunks of the other map, which has the same size.
    void merge(const HaveMap &other);

    std::span<const std::uint64_t> words() const { return m_words; }
    std::uint64_t word(std::size_t index) const { return m_words[index]; }

private:
    std::size_t m_size = 0;
    std::vector<std::uint64_t> m_words;
};

/// Calls visit(chunk) for each set bit of the word at the given index, until it returns false.
template<class Visitor>
bool visitBits(std::uint64_t word, std::size_t wordIndex, Visitor &&visit)
{
    while (word != 0) {
        const auto bit = static_cast<std::size_t>(__builtin_ctzll(word));
        word &= word - 1;
        if (!visit(wordIndex * HaveMap::WordBits + bit))
            return false;
    }
    return true;
}

} // namespace oriolerill::distribution
