#pragma once

#include "distribution/havemap.h"
#include "distribution/manifest.h"
#include "domain/digest.h"
#include "domain/expected.h"
#include "domain/quantity.h"

#include <memory>
#include <string>

namespace oriolerill::distribution {

/// Verified chunks of the versions that this VM holds. Thread-safe.
class IChunkStore
{
public:
    virtual ~IChunkStore() = default;

    /// Reserves memory for the version; TooLarge when it does not fit. Idempotent.
    virtual domain::Expected<domain::Done> hold(std::shared_ptr<const Manifest> manifest) = 0;
    /// Frees the chunks that no other held version uses.
    virtual void release(const domain::Digest &manifest) = 0;
    virtual std::shared_ptr<const Manifest> manifest(const domain::Digest &digest) const = 0;

    /// Stores a chunk once for all versions. Corrupted when the data does not match the digest,
    /// NotFound when no held version uses the chunk.
    virtual domain::Expected<domain::Done> put(const domain::Digest &chunk, std::string data) = 0;
    /// The verified data; null when the chunk is absent.
    virtual std::shared_ptr<const std::string> find(const domain::Digest &chunk) const = 0;

    virtual HaveMap haveMap(const domain::Digest &manifest) const = 0;
    virtual domain::Bytes reserved() const = 0;
    virtual domain::Bytes stored() const = 0;
};

} // namespace oriolerill::distribution
