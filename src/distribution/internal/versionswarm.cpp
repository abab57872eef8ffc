#include "distribution/internal/versionswarm.h"

#include "distribution/manifestchunk.h"
#include "domain/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace oriolerill::distribution::internal {

using namespace std::chrono_literals;

namespace {

// After a takeover, the new tracker waits for the agents to report held chunks and fetches in
// progress: two report intervals.
constexpr domain::Duration TakeoverDelay = 500ms;
constexpr domain::Duration AdoptedFetchTimeout = 10s;
constexpr domain::Duration BadSourceAvoidance = 60s;
constexpr domain::Duration FailedSourceAvoidance = 1s;
constexpr auto NoMember = std::numeric_limits<std::uint32_t>::max();
constexpr double AveragingShare = 0.1;
constexpr double SlowFactor = 4;
constexpr domain::Duration SlowPeriod = 10s;

} // namespace

VersionSwarm::VersionSwarm(const domain::Digest &manifest, const SwarmOptions &options,
        SourceTable &sources, SourceTable &links, domain::TimePoint now)
    : m_manifest(manifest)
    , m_options(options)
    , m_sources(sources)
    , m_links(links)
    , m_random(static_cast<std::minstd_rand::result_type>(options.seed + 1))
    , m_importsAllowedFrom(now)
    , m_rarity(0)
    , m_ownSite{options.dataCentre, {}}
    , m_nextReview(now)
{}

void VersionSwarm::start(std::size_t chunks)
{
    m_chunkCount = chunks;
    m_rarity = RarityIndex(chunks);
    m_importing = HaveMap(chunks);
    m_overdue = HaveMap(chunks);
    m_inFlight.assign(chunks, 0);
    m_owners.assign(chunks, NoMember);
    m_ownerWeights.assign(chunks, 0);
    m_recent.assign(chunks, {NoMember, NoMember, NoMember, NoMember});
    m_items.resize(chunks);
    for (std::size_t chunk = 0; chunk < chunks; ++chunk)
        m_items[chunk] = itemKey(m_manifest, static_cast<std::uint32_t>(chunk));
    for (RemoteSite &remote : m_remotes)
        remote.resize(chunks);
    rebuildRoutes();
}

VersionSwarm::Member VersionSwarm::join(const std::string &address, RateWindow &window)
{
    Member member = static_cast<Member>(m_members.size());
    if (m_freeMembers.empty()) {
        m_members.emplace_back();
    } else {
        member = m_freeMembers.back();
        m_freeMembers.pop_back();
    }
    MemberState &state = m_members[member];
    state = MemberState();
    state.isActive = true;
    state.source = m_sources.find(address);
    state.hash = domain::rendezvousWeight("vm", address);
    state.window = &window;
    state.activePosition = m_activeMembers.size();
    m_activeMembers.push_back(member);
    return member;
}

void VersionSwarm::leave(Member member)
{
    MemberState &state = m_members[member];
    while (!state.fetches.empty())
        close(state, state.fetches.back(), false, domain::TimePoint());
    for (std::size_t word = 0; word < state.have.words().size(); ++word) {
        visitBits(state.have.word(word), word, [this](std::size_t chunk) {
            onChunkLost(chunk);
            return true;
        });
    }
    state.isActive = false;
    m_activeMembers[state.activePosition] = m_activeMembers.back();
    m_members[m_activeMembers.back()].activePosition = state.activePosition;
    m_activeMembers.pop_back();
    state.have = HaveMap();
    reassignOwned(member);
    m_freeMembers.push_back(member);
}

void VersionSwarm::claimAbsentChunks(Member member)
{
    MemberState &state = m_members[member];
    for (std::size_t word = 0; word < m_rarity.absent().words().size(); ++word) {
        visitBits(m_rarity.absent().word(word), word, [&](std::size_t chunk) {
            const std::uint64_t weight = itemWeight(m_items[chunk], state.hash);
            if (m_owners[chunk] == NoMember || weight > m_ownerWeights[chunk]) {
                m_owners[chunk] = member;
                m_ownerWeights[chunk] = weight;
                state.owned.push_back(static_cast<std::uint32_t>(chunk));
            }
            return true;
        });
    }
}

void VersionSwarm::reassignOwned(Member member)
{
    for (const std::uint32_t chunk : m_members[member].owned) {
        if (m_owners[chunk] != member)
            continue;
        m_owners[chunk] = NoMember;
        for (const Member candidate : m_activeMembers) {
            MemberState &state = m_members[candidate];
            const std::uint64_t weight = itemWeight(m_items[chunk], state.hash);
            if (!state.hasManifest
                    || (m_owners[chunk] != NoMember && weight <= m_ownerWeights[chunk]))
                continue;
            m_owners[chunk] = candidate;
            m_ownerWeights[chunk] = weight;
        }
        if (m_owners[chunk] != NoMember)
            m_members[m_owners[chunk]].owned.push_back(chunk);
    }
    m_members[member].owned.clear();
}

void VersionSwarm::applyReport(
        Member member, const protocol::SwarmReport &report, domain::TimePoint now)
{
    MemberState &state = m_members[member];
    if (!m_hasReports) {
        m_hasReports = true;
        const bool isTakeover = !report.have().empty() || report.in_progress_size() > 0;
        if (isTakeover)
            m_importsAllowedFrom = now + TakeoverDelay;
    }
    applyBadSources(state, report, now);
    if (report.chunk_count() == 0) {
        const auto &running = report.in_progress();
        const bool isFetching
                = std::find(running.begin(), running.end(), ManifestChunk) != running.end();
        if (!isFetching)
            state.manifestDeadline = {};
        return;
    }
    if (m_chunkCount == 0)
        start(report.chunk_count());
    if (report.chunk_count() != m_chunkCount)
        return;
    const HaveMap have = HaveMap::fromBytes(report.have(), m_chunkCount);
    if (!state.hasManifest) {
        state.hasManifest = true;
        state.have = HaveMap(m_chunkCount);
        state.pending = HaveMap(m_chunkCount);
        claimAbsentChunks(member);
    }
    applyHave(state, member, have, now);
    applyFetches(state, member, report, now);
}

void VersionSwarm::applyHave(
        MemberState &state, Member member, const HaveMap &have, domain::TimePoint now)
{
    for (std::size_t word = 0; word < have.words().size(); ++word) {
        const std::uint64_t before = state.have.word(word);
        const std::uint64_t after = have.word(word);
        if (before == after)
            continue;
        visitBits(after & ~before, word, [&](std::size_t chunk) {
            onChunkGained(state, member, static_cast<std::uint32_t>(chunk), now);
            return true;
        });
        visitBits(before & ~after, word, [&](std::size_t chunk) {
            onChunkLost(chunk);
            return true;
        });
    }
    state.have = have;
    state.held = have.count();
}

void VersionSwarm::onChunkLost(std::size_t chunk)
{
    m_rarity.remove(chunk);
    // The owner has removed the chunk from its list, so any endpoint may import it.
    if (m_rarity.count(chunk) == 0)
        m_overdue.set(chunk);
}

void VersionSwarm::onChunkGained(
        MemberState &state, Member member, std::uint32_t chunk, domain::TimePoint now)
{
    m_rarity.add(chunk);
    m_importing.reset(chunk);
    m_overdue.reset(chunk);
    m_recent[chunk][m_rarity.count(chunk) % m_recent[chunk].size()] = member;
    if (!state.pending.test(chunk))
        return;
    for (std::size_t i = state.fetches.size(); i-- > 0;) {
        if (state.fetches[i].chunk == chunk)
            close(state, state.fetches[i], true, now);
    }
}

void VersionSwarm::applyFetches(MemberState &state, Member member,
        const protocol::SwarmReport &report, domain::TimePoint now)
{
    HaveMap running(m_chunkCount);
    for (const std::uint32_t chunk : report.in_progress()) {
        if (chunk < m_chunkCount)
            running.set(chunk);
    }
    // A report answers the previous plan, so a planned fetch that is missing from it has failed.
    for (std::size_t i = state.fetches.size(); i-- > 0;) {
        const Fetch &fetch = state.fetches[i];
        if (running.test(fetch.chunk))
            continue;
        if (fetch.source && *fetch.source != SourceTable::Origin) {
            domain::TimePoint &avoided = state.avoided[*fetch.source];
            avoided = std::max(avoided, now + FailedSourceAvoidance);
        }
        close(state, fetch, false, now);
    }
    for (const std::uint32_t chunk : report.in_progress()) {
        if (chunk >= m_chunkCount || state.pending.test(chunk) || state.have.test(chunk))
            continue;
        state.pending.set(chunk);
        ++m_inFlight[chunk];
        state.window->started();
        state.fetches.push_back({chunk, {}, {}, now, now + AdoptedFetchTimeout});
        if (m_rarity.absent().test(chunk)) {
            m_importing.set(chunk);
            m_importTimers.push({now + AdoptedFetchTimeout, now, member, chunk});
        }
    }
}

void VersionSwarm::applyBadSources(
        MemberState &state, const protocol::SwarmReport &report, domain::TimePoint now)
{
    for (const std::string &address : report.bad_sources()) {
        const Source source = m_sources.find(address);
        m_sources.recordFault(source, now);
        if (source != SourceTable::Origin)
            state.avoided[source] = now + BadSourceAvoidance;
    }
}

void VersionSwarm::close(
        MemberState &state, const Fetch &fetch, bool isCompleted, domain::TimePoint now)
{
    const Fetch closed = fetch;
    const auto position = static_cast<std::size_t>(&fetch - state.fetches.data());
    state.fetches[position] = state.fetches.back();
    state.fetches.pop_back();
    --m_inFlight[closed.chunk];
    if (closed.link)
        --state.imports;
    if (closed.source && --state.fetchesBySource[*closed.source] == 0)
        state.fetchesBySource.erase(*closed.source);
    if (isCompleted) {
        const domain::Duration took = now - closed.startedAt;
        state.window->completed(now);
        if (closed.source && closed.isCounted)
            m_sources.completed(*closed.source, took, now);
        if (closed.link)
            m_links.completed(*closed.link, took, now);
        double &mean = closed.link ? m_importSeconds : m_localSeconds;
        recordDuration(state, closed, mean, std::chrono::duration<double>(took).count(), now);
    } else {
        state.window->dropped();
        if (closed.source && closed.isCounted)
            m_sources.dropped(*closed.source);
        if (closed.link)
            m_links.dropped(*closed.link);
    }
    // The number of holders does not show whether this was an import: a holder counted at its start
    // may have left since. A fetch adopted from a previous tracker may be an import too.
    const bool isImport = closed.link || !closed.source;
    if (isImport) {
        m_importing.reset(closed.chunk);
        // The owner may have failed or left, so any endpoint may import the chunk next.
        if (!isCompleted)
            m_overdue.set(closed.chunk);
    }
    const bool isLast = std::none_of(state.fetches.begin(), state.fetches.end(),
            [&](const Fetch &other) { return other.chunk == closed.chunk; });
    if (!isLast)
        return;
    state.pending.reset(closed.chunk);
}

void VersionSwarm::recordDuration(MemberState &state, const Fetch &fetch, double &mean,
        double seconds, domain::TimePoint now) const
{
    if (mean == 0) {
        mean = seconds;
        return;
    }
    // A slow endpoint delays all others when only it holds a chunk, so it stops importing. A local
    // fetch may be slow because of its source, so only imports count.
    if (fetch.link && seconds > SlowFactor * mean)
        state.slowUntil = now + SlowPeriod;
    else if (seconds < 2 * mean)
        state.slowUntil = {};
    mean += (seconds - mean) * AveragingShare;
}

bool VersionSwarm::isComplete(Member member) const
{
    const MemberState &state = m_members[member];
    return state.hasManifest && state.held == m_chunkCount;
}

protocol::HaveReply VersionSwarm::have(domain::TimePoint now)
{
    // Bounds the size of a reply. Each reply lists a random part of a large data centre; the
    // querying tracker merges them.
    constexpr std::size_t MaxNamed = 16;
    protocol::HaveReply reply;
    const std::size_t count = m_activeMembers.size();
    const std::size_t first = random(count);
    for (std::size_t i = 0; i < std::min(count, MaxNamed); ++i) {
        const MemberState &state = m_members[m_activeMembers[(first + i) % count]];
        protocol::HaveHolder &holder = *reply.add_holders();
        holder.set_address(m_sources.address(state.source));
        const bool isOffered = state.hasManifest && (count == 1 || state.slowUntil <= now);
        if (isOffered)
            holder.set_have(state.have.toBytes());
    }
    return reply;
}

} // namespace oriolerill::distribution::internal
