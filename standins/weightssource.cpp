#include "weightssource.h"

#include "domain/digest.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace oriolerill::standins {

namespace {

constexpr std::uint64_t WordSize = 8;

/// The splitmix64 generator; computes any word of the sequence without the previous ones.
std::uint64_t wordAt(std::uint64_t seed, std::uint64_t index)
{
    std::uint64_t value = seed * 0xd1342543de82ef95U + (index + 1) * 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

WeightsSource::WeightsSource(WeightsOptions options)
    : m_options(std::move(options))
{
    buildManifest();
}

std::uint64_t WeightsSource::chunkCount() const
{
    return (m_options.size + m_options.chunkSize - 1) / m_options.chunkSize;
}

std::string WeightsSource::bytes(std::uint64_t begin, std::uint64_t end) const
{
    end = std::min(end, m_options.size);
    if (begin >= end)
        return {};
    const std::uint64_t firstWord = begin / WordSize;
    const std::uint64_t lastWord = (end + WordSize - 1) / WordSize;
    std::string words((lastWord - firstWord) * WordSize, '\0');
    for (std::uint64_t index = firstWord; index < lastWord; ++index) {
        const std::uint64_t word = wordAt(m_options.seed, index);
        std::memcpy(words.data() + (index - firstWord) * WordSize, &word, WordSize);
    }
    return words.substr(begin - firstWord * WordSize, end - begin);
}

void WeightsSource::buildManifest()
{
    boost::json::array chunks;
    for (std::uint64_t begin = 0; begin < m_options.size; begin += m_options.chunkSize) {
        const std::string data = bytes(begin, begin + m_options.chunkSize);
        boost::json::object chunk;
        chunk["digest"] = domain::Digest::of(data).hex();
        chunk["size"] = data.size();
        chunks.emplace_back(std::move(chunk));
    }
    boost::json::object manifest;
    manifest["model"] = m_options.model;
    manifest["version"] = m_options.version;
    manifest["chunks"] = std::move(chunks);
    m_manifest = boost::json::serialize(manifest);
    m_manifestDigest = domain::Digest::of(m_manifest).hex();
}

} // namespace oriolerill::standins
