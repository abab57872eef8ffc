#pragma once

#include "domain/digest.h"

#include <cstdint>

namespace oriolerill::distribution {

struct TransferProgress
{
    /// False until the manifest has been fetched and verified.
    bool hasManifest = false;
    std::uint32_t chunksVerified = 0;
    std::uint32_t chunksTotal = 0;

    /// True when every chunk and the manifest digest have been verified.
    bool isComplete() const { return hasManifest && chunksVerified == chunksTotal; }
};

/// Fetches versions of weights to this VM.
class IWeightsProvider
{
public:
    virtual ~IWeightsProvider() = default;

    /// Starts or continues to fetch a version; higher priorities go first.
    virtual void request(const domain::Digest &manifest, std::uint32_t priority) = 0;
    virtual TransferProgress progress(const domain::Digest &manifest) const = 0;
    /// Stops the transfer and frees the chunks that no other version uses.
    virtual void release(const domain::Digest &manifest) = 0;
};

} // namespace oriolerill::distribution
