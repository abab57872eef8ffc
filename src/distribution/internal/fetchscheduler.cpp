#include "distribution/fetchscheduler.h"

#include "distribution/manifestchunk.h"
#include "domain/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolerill::distribution {

using domain::Digest;
using domain::TimePoint;

namespace {

constexpr std::size_t MaxKnownPeers = 32;
// Bounds the load on peers from fetches that no tracker coordinates.
constexpr std::size_t MaxQueuedWithoutTracker = 16;
constexpr std::size_t MaxScannedChunks = 512;
constexpr auto PlanInterval = std::chrono::milliseconds(100);
// Memory may be freed later, but the manifest must not be fetched again with each report.
constexpr auto UnusableRetryDelay = std::chrono::seconds(10);

} // namespace

FetchScheduler::FetchScheduler(FetchSchedulerOptions options, TimePoint startedAt)
    : m_options(std::move(options))
    , m_lastPlan(startedAt)
{}

void FetchScheduler::request(const Digest &manifest, std::uint32_t priority, TimePoint now)
{
    const auto [entry, isNew] = m_versions.try_emplace(manifest);
    entry->second.priority = priority;
    if (isNew)
        entry->second.lastProgress = now;
}

FetchActions FetchScheduler::release(const Digest &manifest, TimePoint now)
{
    FetchActions actions;
    m_versions.erase(manifest);
    for (auto active = m_active.begin(); active != m_active.end();) {
        if (active->second.manifest != manifest) {
            ++active;
            continue;
        }
        actions.emplace_back(CancelFetch{active->first});
        --m_activePerSource[active->second.source];
        --m_activePerContent[active->second.content];
        active = m_active.erase(active);
    }
    startQueued(actions, now);
    return actions;
}

FetchActions FetchScheduler::onManifestVerified(
        const std::shared_ptr<const Manifest> &manifest, const HaveMap &have, TimePoint now)
{
    FetchActions actions;
    const auto entry = m_versions.find(manifest->digest());
    if (entry == m_versions.end() || entry->second.manifest)
        return actions;
    Version &version = entry->second;
    version.manifest = manifest;
    version.have = have;
    version.held = have.count();
    version.lastProgress = now;
    version.isReportUrgent = true;
    cancelContent(manifest->digest(), actions);
    return actions;
}

Digest FetchScheduler::contentOf(
        const Digest &manifest, const Version &version, std::uint32_t chunk) const
{
    return chunk == ManifestChunk ? manifest : version.manifest->chunks()[chunk].digest;
}

std::size_t FetchScheduler::activeCount(const Digest &content) const
{
    const auto entry = m_activePerContent.find(content);
    return entry == m_activePerContent.end() ? 0 : entry->second;
}

bool FetchScheduler::isPending(
        const Digest &manifest, const Version &version, std::uint32_t chunk) const
{
    const bool isQueued = std::any_of(version.queue.begin(), version.queue.end(),
            [chunk](const Assignment &queued) { return queued.chunk == chunk; });
    return isQueued || activeCount(contentOf(manifest, version, chunk)) > 0;
}

FetchActions FetchScheduler::plan(
        const Digest &manifest, const protocol::SwarmPlan &plan, TimePoint now)
{
    FetchActions actions;
    m_lastPlan = now;
    for (const protocol::SwarmPeer &peer : plan.peers()) {
        if (m_knownPeers.size() >= MaxKnownPeers)
            m_knownPeers.erase(m_knownPeers.begin());
        m_knownPeers[peer.request_address()] = peer.control_address();
    }
    const auto entry = m_versions.find(manifest);
    if (entry == m_versions.end())
        return actions;
    Version &version = entry->second;
    for (const protocol::FetchAssignment &fetch : plan.fetches()) {
        const bool isManifest = fetch.chunk() == ManifestChunk;
        if (isManifest == (version.manifest != nullptr))
            continue;
        const bool isWanted = isManifest
                || (fetch.chunk() < version.have.size() && !version.have.test(fetch.chunk()));
        if (isWanted)
            version.queue.push_back({fetch.chunk(), fetch.source()});
    }
    version.plannedQueueSize = version.queue.size();
    startQueued(actions, now);
    return actions;
}

void FetchScheduler::startQueued(FetchActions &actions, TimePoint now)
{
    std::vector<std::pair<const Digest *, Version *>> order;
    order.reserve(m_versions.size());
    for (auto &[manifest, version] : m_versions)
        order.emplace_back(&manifest, &version);
    // At equal priority, small versions (adapters) go first.
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        if (a.second->priority != b.second->priority)
            return a.second->priority > b.second->priority;
        return a.second->have.size() < b.second->have.size();
    });
    for (const auto &[manifest, version] : order) {
        while (m_active.size() < m_options.maxParallel
                && startOne(*manifest, *version, actions, now))
            ;
    }
}

bool FetchScheduler::mayStart(const std::string &source) const
{
    const auto active = m_activePerSource.find(source);
    return active == m_activePerSource.end() || active->second < m_options.maxParallelPerSource;
}

bool FetchScheduler::startOne(
        const Digest &manifest, Version &version, FetchActions &actions, TimePoint now)
{
    constexpr std::size_t MaxCopies = 2;
    for (auto queued = version.queue.begin(); queued != version.queue.end();) {
        const bool isHeld = queued->chunk != ManifestChunk && version.have.test(queued->chunk);
        const Digest content = contentOf(manifest, version, queued->chunk);
        const bool isRetryDelayed = queued->chunk == ManifestChunk && now < version.manifestRetryAt;
        if (isHeld || isRetryDelayed || activeCount(content) >= MaxCopies
                || isAvoided(queued->source, now)) {
            queued = version.queue.erase(queued);
            continue;
        }
        if (!mayStart(queued->source) || isRunningForOther(manifest, content)) {
            ++queued;
            continue;
        }
        const FetchId id(++m_lastId);
        m_active.emplace(id, Active{manifest, content, queued->chunk, queued->source});
        ++m_activePerSource[queued->source];
        ++m_activePerContent[content];
        actions.emplace_back(StartFetch{id, manifest, queued->chunk, queued->source});
        version.queue.erase(queued);
        return true;
    }
    return false;
}

bool FetchScheduler::isRunningForOther(const Digest &manifest, const Digest &content) const
{
    return activeCount(content) > 0
            && std::any_of(m_active.begin(), m_active.end(), [&](const auto &active) {
                   return active.second.content == content && active.second.manifest != manifest;
               });
}

FetchActions FetchScheduler::onFetchEnd(FetchId id, FetchOutcome outcome, TimePoint now)
{
    FetchActions actions;
    const auto entry = m_active.find(id);
    if (entry == m_active.end())
        return actions;
    const Active active = entry->second;
    m_active.erase(entry);
    --m_activePerSource[active.source];
    if (--m_activePerContent[active.content] == 0)
        m_activePerContent.erase(active.content);
    const auto version = m_versions.find(active.manifest);
    if (version != m_versions.end() && outcome != FetchOutcome::Verified) {
        version->second.isReportUrgent = true;
        if (outcome == FetchOutcome::Unusable)
            version->second.manifestRetryAt = now + UnusableRetryDelay;
        else if (outcome != FetchOutcome::Refused)
            recordBadSource(version->second, active.source, now);
    }
    if (outcome == FetchOutcome::Verified && active.chunk != ManifestChunk) {
        markHeld(active.content, now);
        cancelContent(active.content, actions);
    }
    startQueued(actions, now);
    return actions;
}

void FetchScheduler::recordBadSource(Version &version, const std::string &source, TimePoint now)
{
    version.badSources.push_back(source);
    // The origin has no substitute; only the tracker's backoff applies to it.
    if (!source.empty())
        m_avoidedUntil[source] = now + m_options.sourceAvoidance;
}

bool FetchScheduler::isAvoided(const std::string &source, TimePoint now) const
{
    const auto avoided = m_avoidedUntil.find(source);
    return avoided != m_avoidedUntil.end() && avoided->second > now;
}

void FetchScheduler::markHeld(const Digest &content, TimePoint now)
{
    for (auto &[manifest, version] : m_versions) {
        if (!version.manifest)
            continue;
        const std::vector<ChunkInfo> &chunks = version.manifest->chunks();
        for (std::size_t i = 0; i < chunks.size(); ++i) {
            if (chunks[i].digest != content || version.have.test(i))
                continue;
            version.have.set(i);
            ++version.held;
            version.lastProgress = now;
            // Report at once when the version is complete, or when half of the planned fetches have
            // started: the tracker then plans more.
            const bool isQueueLow = 2 * version.queue.size() <= version.plannedQueueSize;
            version.isReportUrgent |= isQueueLow || version.held == chunks.size();
        }
    }
}

void FetchScheduler::cancelContent(const Digest &content, FetchActions &actions)
{
    for (auto active = m_active.begin(); active != m_active.end();) {
        if (active->second.content != content) {
            ++active;
            continue;
        }
        actions.emplace_back(CancelFetch{active->first});
        --m_activePerSource[active->second.source];
        active = m_active.erase(active);
    }
    m_activePerContent.erase(content);
}

void FetchScheduler::onPeerHave(
        const Digest &manifest, const protocol::HaveReply &reply, TimePoint now)
{
    const auto entry = m_versions.find(manifest);
    if (entry == m_versions.end())
        return;
    Version &version = entry->second;
    for (const protocol::HaveHolder &holder : reply.holders()) {
        if (holder.address().empty() || holder.address() == m_options.address)
            continue;
        if (version.peers.size() >= MaxKnownPeers && !version.peers.contains(holder.address()))
            version.peers.erase(version.peers.begin());
        PeerMap &peer = version.peers[holder.address()];
        peer.receivedAt = now;
        peer.have = HaveMap::fromBytes(
                holder.have(), version.manifest ? version.have.size() : 8 * holder.have().size());
    }
}

bool FetchScheduler::hasTracker(TimePoint now) const
{
    return now - m_lastPlan < m_options.trackerTimeout;
}

FetchActions FetchScheduler::tick(TimePoint now)
{
    FetchActions actions;
    if (!hasTracker(now)) {
        for (auto &[manifest, version] : m_versions) {
            const bool isComplete = version.manifest && version.held == version.have.size();
            if (isComplete)
                continue;
            queryPeers(manifest, version, actions, now);
            planWithoutTracker(manifest, version, now);
        }
    }
    startQueued(actions, now);
    return actions;
}

void FetchScheduler::queryPeers(
        const Digest &manifest, Version &version, FetchActions &actions, TimePoint now)
{
    constexpr std::size_t MaxQueriedPeers = 4;
    if (now < version.nextPeerQuery || m_knownPeers.empty())
        return;
    version.nextPeerQuery = now + m_options.peerQueryInterval;
    for (std::size_t i = 0; i < std::min(MaxQueriedPeers, m_knownPeers.size()); ++i) {
        m_peerCursor = (m_peerCursor + 1) % m_knownPeers.size();
        const auto peer
                = std::next(m_knownPeers.begin(), static_cast<std::ptrdiff_t>(m_peerCursor));
        actions.emplace_back(QueryPeer{manifest, peer->second});
    }
}

void FetchScheduler::planWithoutTracker(const Digest &manifest, Version &version, TimePoint now)
{
    if (now < version.nextPlanWithoutTracker)
        return;
    version.nextPlanWithoutTracker = now + PlanInterval;
    if (!version.manifest) {
        queueWithoutTracker(manifest, version, ManifestChunk, now);
        return;
    }
    const std::size_t size = version.have.size();
    // Agents start at different chunks, so that they hold different chunks to exchange.
    if (version.chunkCursor == 0)
        version.chunkCursor = domain::rendezvousWeight(m_options.address, manifest.hex()) % size;
    const std::size_t scanned = std::min(size, MaxScannedChunks);
    for (std::size_t i = 0; i < scanned && version.queue.size() < MaxQueuedWithoutTracker; ++i) {
        version.chunkCursor = (version.chunkCursor + 1) % size;
        if (!version.have.test(version.chunkCursor))
            queueWithoutTracker(
                    manifest, version, static_cast<std::uint32_t>(version.chunkCursor), now);
    }
}

void FetchScheduler::queueWithoutTracker(
        const Digest &manifest, Version &version, std::uint32_t chunk, TimePoint now)
{
    if (isPending(manifest, version, chunk))
        return;
    const std::optional<std::string> source = sourceWithoutTracker(manifest, version, chunk, now);
    if (source)
        version.queue.push_back({chunk, *source});
}

std::optional<std::string> FetchScheduler::sourceWithoutTracker(
        const Digest &manifest, const Version &version, std::uint32_t chunk, TimePoint now) const
{
    constexpr auto PeerLifetime = std::chrono::seconds(10);
    std::optional<std::string> best;
    std::size_t bestActive = 0;
    for (const auto &[address, peer] : version.peers) {
        const bool hasChunk = chunk == ManifestChunk ? peer.have.size() > 0 : peer.have.test(chunk);
        if (!hasChunk || isAvoided(address, now) || peer.receivedAt + PeerLifetime < now)
            continue;
        const auto active = m_activePerSource.find(address);
        const std::size_t count = active == m_activePerSource.end() ? 0 : active->second;
        if (!best || count < bestActive) {
            best = address;
            bestActive = count;
        }
    }
    if (!best && mayFetchFromOrigin(manifest, version, chunk, now))
        best = std::string();
    return best;
}

bool FetchScheduler::mayFetchFromOrigin(
        const Digest &manifest, const Version &version, std::uint32_t chunk, TimePoint now) const
{
    if (now < version.lastProgress + m_options.originDelayPerRank)
        return false;
    const std::string item = manifest.hex() + '/' + std::to_string(chunk);
    const std::uint64_t own = domain::rendezvousWeight(item, m_options.address);
    const auto rank
            = std::count_if(m_knownPeers.begin(), m_knownPeers.end(), [&](const auto &peer) {
                  return peer.first != m_options.address
                          && domain::rendezvousWeight(item, peer.first) > own;
              });
    // The first rank waits for one delay too: a tracker is usually replaced within that time.
    return now >= version.lastProgress + m_options.originDelayPerRank * (rank + 1);
}

protocol::SwarmReport FetchScheduler::report(const Digest &manifest)
{
    protocol::SwarmReport report;
    report.set_manifest_digest(manifest.bytes());
    const auto entry = m_versions.find(manifest);
    if (entry == m_versions.end())
        return report;
    Version &version = entry->second;
    version.isReportUrgent = false;
    if (version.manifest) {
        report.set_chunk_count(static_cast<std::uint32_t>(version.have.size()));
        report.set_have(version.have.toBytes());
    }
    for (const Assignment &queued : version.queue)
        report.add_in_progress(queued.chunk);
    for (const auto &[id, active] : m_active) {
        if (active.manifest == manifest)
            report.add_in_progress(active.chunk);
    }
    for (const std::string &source : version.badSources)
        report.add_bad_sources(source);
    version.badSources.clear();
    report.set_upload_slots(static_cast<std::uint32_t>(m_options.maxParallelPerSource));
    return report;
}

bool FetchScheduler::isReportUrgent(const Digest &manifest) const
{
    const auto entry = m_versions.find(manifest);
    return entry != m_versions.end() && entry->second.isReportUrgent;
}

TransferProgress FetchScheduler::progress(const Digest &manifest) const
{
    TransferProgress progress;
    const auto entry = m_versions.find(manifest);
    if (entry == m_versions.end() || !entry->second.manifest)
        return progress;
    progress.hasManifest = true;
    progress.chunksVerified = static_cast<std::uint32_t>(entry->second.held);
    progress.chunksTotal = static_cast<std::uint32_t>(entry->second.have.size());
    return progress;
}

std::vector<Digest> FetchScheduler::versions() const
{
    std::vector<Digest> digests;
    digests.reserve(m_versions.size());
    for (const auto &[manifest, version] : m_versions)
        digests.push_back(manifest);
    return digests;
}

} // namespace oriolerill::distribution
