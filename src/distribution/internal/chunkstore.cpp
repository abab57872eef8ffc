#include "distribution/chunkstore.h"

#include <unordered_set>
#include <utility>

namespace oriolerill::distribution {

using domain::Bytes;
using domain::Digest;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

ChunkStore::ChunkStore(Bytes capacity)
    : m_capacity(capacity)
{}

Bytes ChunkStore::missingBytes(const Manifest &manifest) const
{
    Bytes sum;
    std::unordered_set<Digest> counted;
    for (const ChunkInfo &chunk : manifest.chunks()) {
        if (!m_slots.contains(chunk.digest) && counted.insert(chunk.digest).second)
            sum += chunk.size;
    }
    return sum;
}

Expected<Done> ChunkStore::hold(std::shared_ptr<const Manifest> manifest)
{
    const std::scoped_lock lock(m_mutex);
    if (m_manifests.contains(manifest->digest()))
        return Done{};
    const Bytes missing = missingBytes(*manifest);
    if (m_reserved + missing > m_capacity) {
        return Error{ErrorKind::TooLarge,
                "a version needs " + std::to_string(missing.count()) + " more bytes, and "
                        + std::to_string((m_capacity - m_reserved).count()) + " are free",
                "release another version or raise [weights] memory_bytes"};
    }
    m_reserved += missing;
    for (const ChunkInfo &chunk : manifest->chunks()) {
        Slot &slot = m_slots[chunk.digest];
        slot.size = chunk.size;
        ++slot.references;
    }
    m_manifests.emplace(manifest->digest(), std::move(manifest));
    return Done{};
}

void ChunkStore::release(const Digest &manifest)
{
    const std::scoped_lock lock(m_mutex);
    const auto held = m_manifests.find(manifest);
    if (held == m_manifests.end())
        return;
    for (const ChunkInfo &chunk : held->second->chunks()) {
        const auto slot = m_slots.find(chunk.digest);
        if (--slot->second.references > 0)
            continue;
        m_reserved -= slot->second.size;
        if (slot->second.data)
            m_stored -= slot->second.size;
        m_slots.erase(slot);
    }
    m_manifests.erase(held);
}

std::shared_ptr<const Manifest> ChunkStore::manifest(const Digest &digest) const
{
    const std::scoped_lock lock(m_mutex);
    const auto held = m_manifests.find(digest);
    return held == m_manifests.end() ? nullptr : held->second;
}

Expected<Done> ChunkStore::put(const Digest &chunk, std::string data)
{
    // Hashing takes milliseconds, so it is done outside the lock.
    if (Digest::of(data) != chunk) {
        return Error{ErrorKind::Corrupted, "chunk data does not have the digest " + chunk.hex(),
                "fetch the chunk from another source"};
    }
    auto verified = std::make_shared<const std::string>(std::move(data));
    const std::scoped_lock lock(m_mutex);
    const auto slot = m_slots.find(chunk);
    if (slot == m_slots.end()) {
        return Error{ErrorKind::NotFound, "no held version uses the chunk " + chunk.hex(),
                "discard the chunk"};
    }
    if (slot->second.data)
        return Done{};
    if (verified->size() != slot->second.size.count()) {
        return Error{ErrorKind::Corrupted, "chunk size differs from the manifest",
                "publish the version again with a valid manifest"};
    }
    slot->second.data = std::move(verified);
    m_stored += slot->second.size;
    return Done{};
}

std::shared_ptr<const std::string> ChunkStore::find(const Digest &chunk) const
{
    const std::scoped_lock lock(m_mutex);
    const auto slot = m_slots.find(chunk);
    return slot == m_slots.end() ? nullptr : slot->second.data;
}

HaveMap ChunkStore::haveMap(const Digest &manifest) const
{
    const std::scoped_lock lock(m_mutex);
    const auto held = m_manifests.find(manifest);
    if (held == m_manifests.end())
        return {};
    const std::vector<ChunkInfo> &chunks = held->second->chunks();
    HaveMap have(chunks.size());
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        if (m_slots.at(chunks[i].digest).data)
            have.set(i);
    }
    return have;
}

Bytes ChunkStore::reserved() const
{
    const std::scoped_lock lock(m_mutex);
    return m_reserved;
}

Bytes ChunkStore::stored() const
{
    const std::scoped_lock lock(m_mutex);
    return m_stored;
}

} // namespace oriolerill::distribution
