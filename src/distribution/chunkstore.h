#pragma once

#include "distribution/ichunkstore.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace oriolerill::distribution {

/// Chunk store in memory. The capacity bounds the total size of all held versions, with shared
/// chunks counted once.
class ChunkStore : public IChunkStore
{
public:
    explicit ChunkStore(domain::Bytes capacity);

    domain::Expected<domain::Done> hold(std::shared_ptr<const Manifest> manifest) override;
    void release(const domain::Digest &manifest) override;
    std::shared_ptr<const Manifest> manifest(const domain::Digest &digest) const override;
    domain::Expected<domain::Done> put(const domain::Digest &chunk, std::string data) override;
    std::shared_ptr<const std::string> find(const domain::Digest &chunk) const override;
    HaveMap haveMap(const domain::Digest &manifest) const override;
    domain::Bytes reserved() const override;
    domain::Bytes stored() const override;

private:
    struct Slot
    {
        std::uint32_t references = 0;
        domain::Bytes size;
        std::shared_ptr<const std::string> data;
    };

    domain::Bytes missingBytes(const Manifest &manifest) const;

    mutable std::mutex m_mutex;
    domain::Bytes m_capacity;
    domain::Bytes m_reserved;
    domain::Bytes m_stored;
    std::unordered_map<domain::Digest, std::shared_ptr<const Manifest>> m_manifests;
    std::unordered_map<domain::Digest, Slot> m_slots;
};

} // namespace oriolerill::distribution
