#pragma once

#include <cstdint>
#include <string>

namespace oriolerill::standins {

struct WeightsOptions
{
    std::string model = "velvet";
    std::string version = "1";
    std::uint64_t size = 0;
    std::uint64_t chunkSize = 1U << 18U;
    std::uint64_t seed = 1;
};

/// Deterministic weights: the bytes depend only on the seed and their offset.
class WeightsSource
{
public:
    explicit WeightsSource(WeightsOptions options);

    const WeightsOptions &options() const { return m_options; }
    std::uint64_t chunkCount() const;
    /// The manifest as JSON text; its SHA-256 digest identifies the version.
    const std::string &manifest() const { return m_manifest; }
    const std::string &manifestDigest() const { return m_manifestDigest; }
    /// The bytes of [begin, end), clipped to the size.
    std::string bytes(std::uint64_t begin, std::uint64_t end) const;

private:
    void buildManifest();

    WeightsOptions m_options;
    std::string m_manifest;
    std::string m_manifestDigest;
};

} // namespace oriolerill::standins
