#pragma once

#include "domain/digest.h"
#include "domain/expected.h"
#include "domain/quantity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::distribution {

struct ChunkInfo
{
    domain::Digest digest;
    domain::Bytes size;
    /// Offset of the first byte in the weights.
    domain::Bytes offset;
};

/// The ordered chunks of one version of weights. The digest of its text identifies the version.
class Manifest
{
public:
    static constexpr std::size_t MaxChunks = 1U << 20U;
    static constexpr std::uint64_t MaxChunkSize = 256U << 20U;

    /// Corrupted when the text does not match the expected digest, InvalidInput when it is not a
    /// valid manifest.
    static domain::Expected<Manifest> parse(std::string text, const domain::Digest &expected);
    /// Writes the canonical text of a manifest.
    static std::string format(
            std::string_view model, std::string_view version, const std::vector<ChunkInfo> &chunks);

    const domain::Digest &digest() const { return m_digest; }
    const std::string &model() const { return m_model; }
    const std::string &version() const { return m_version; }
    const std::vector<ChunkInfo> &chunks() const { return m_chunks; }
    domain::Bytes size() const { return m_size; }
    /// The text as received; peers receive the same bytes, so that the digest matches.
    const std::string &text() const { return m_text; }

private:
    Manifest() = default;

    domain::Digest m_digest;
    std::string m_model;
    std::string m_version;
    std::vector<ChunkInfo> m_chunks;
    domain::Bytes m_size;
    std::string m_text;
};

} // namespace oriolerill::distribution
