// Planning of fetches in VersionSwarm.
#include "distribution/internal/versionswarm.h"

#include "distribution/manifestchunk.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace oriolerill::distribution::internal {

using namespace std::chrono_literals;

namespace {

constexpr auto NoMember = std::numeric_limits<std::uint32_t>::max();
constexpr domain::Duration ManifestFetchTimeout = 5s;
// Used before the first measurement; long, so that a slow link does not cause duplicate fetches.
constexpr domain::Duration InitialLocalTimeout = 10s;
constexpr domain::Duration InitialImportTimeout = 30s;
constexpr domain::Duration MinLocalTimeout = 2s;
constexpr domain::Duration MinImportTimeout = 4s;
constexpr double DeadlineFactor = 5;
// After this time without progress, chunks routed over a data centre may be fetched elsewhere.
constexpr domain::Duration StallTimeout = 5s;
constexpr std::size_t MaxTries = 8;
constexpr std::size_t MaxScanned = 64;

domain::Duration fetchTimeout(double meanSeconds, domain::Duration first, domain::Duration minimum)
{
    if (meanSeconds == 0)
        return first;
    const std::chrono::duration<double> time(meanSeconds * DeadlineFactor);
    return std::max(minimum, std::chrono::duration_cast<domain::Duration>(time));
}

} // namespace

void VersionSwarm::plan(
        Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    reviewSites(now);
    expireImports(now);
    MemberState &state = m_members[member];
    if (!state.hasManifest) {
        planManifest(member, state, now, plan);
        return;
    }
    replaceOverdue(member, now, plan);
    while (state.fetches.size() < slots && planImport(member, slots, now, plan))
        ;
    planLocal(member, slots, now, plan);
    if (state.fetches.size() < slots)
        planUntrusted(member, now, plan);
    if (state.fetches.size() < slots)
        planEndgame(member, now, plan);
}

void VersionSwarm::planManifest(
        Member member, MemberState &state, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    if (now < state.manifestDeadline)
        return;
    std::optional<Source> source;
    bool isImporting = false;
    const std::size_t count = m_activeMembers.size();
    const std::size_t first = random(count);
    for (std::size_t i = 0; i < count && !source; ++i) {
        const MemberState &other = m_members[m_activeMembers[(first + i) % count]];
        isImporting |= other.manifestDeadline > now && !other.hasManifest;
        if (other.hasManifest && m_activeMembers[(first + i) % count] != member
                && m_sources.isUsable(other.source, now))
            source = other.source;
    }
    if (!source && isImporting)
        return;
    // A manifest is small, so each data centre fetches it from the origin directly.
    if (!source && !m_sources.isAvoided(SourceTable::Origin, now))
        source = SourceTable::Origin;
    for (std::size_t i = 0; i < m_remotes.size() && !source; ++i)
        source = m_remotes[i].pickForManifest(m_sources, random(count), now);
    if (!source)
        return;
    state.manifestDeadline = now + ManifestFetchTimeout;
    protocol::FetchAssignment &fetch = *plan.add_fetches();
    fetch.set_chunk(ManifestChunk);
    fetch.set_source(m_sources.address(*source));
}

std::size_t VersionSwarm::importSlots(
        const MemberState &state, std::size_t slots, domain::TimePoint now) const
{
    if (m_activeMembers.size() == 1)
        return slots;
    if (state.slowUntil > now)
        return 0;
    // The other half of the slots is left for local fetches.
    return std::max<std::size_t>(2, slots / 2);
}

bool VersionSwarm::planImport(
        Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    if (now < m_importsAllowedFrom
            || m_members[member].imports >= importSlots(m_members[member], slots, now))
        return false;
    return importOwned(member, now, plan) || importOther(member, now, plan);
}

bool VersionSwarm::importOwned(Member member, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    std::vector<std::uint32_t> &owned = m_members[member].owned;
    std::size_t scanned = 0;
    for (std::size_t i = owned.size(); i-- > 0 && scanned < MaxScanned;) {
        const std::uint32_t chunk = owned[i];
        // Obsolete entries are removed and do not count as scanned. Otherwise a tracker that is
        // replaced after a few plans never reaches the absent chunks.
        if (m_owners[chunk] != member || !m_rarity.absent().test(chunk)) {
            owned[i] = owned.back();
            owned.pop_back();
            continue;
        }
        ++scanned;
        if (m_importing.test(chunk))
            continue;
        if (const std::optional<Import> import = pickImport(chunk, now)) {
            assignImport(member, chunk, *import, now, plan);
            return true;
        }
    }
    return false;
}

bool VersionSwarm::importOther(Member member, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const HaveMap &pending = m_members[member].pending;
    const std::size_t words = pending.words().size();
    const std::size_t first = random(words);
    std::size_t scanned = 0;
    bool isAssigned = false;
    for (std::size_t i = 0; i < words && scanned < MaxScanned && !isAssigned; ++i) {
        const std::size_t word = (first + i) % words;
        const std::uint64_t bits = importable(word, now) & ~pending.word(word);
        visitBits(bits, word, [&](std::size_t position) {
            const auto chunk = static_cast<std::uint32_t>(position);
            ++scanned;
            if (!m_overdue.test(chunk) && !isOwnerBusy(chunk, now))
                return scanned < MaxScanned;
            const std::optional<Import> import = pickImport(chunk, now);
            if (import)
                assignImport(member, chunk, *import, now, plan);
            isAssigned = import.has_value();
            return !isAssigned && scanned < MaxScanned;
        });
    }
    return isAssigned;
}

std::uint64_t VersionSwarm::importable(std::size_t word, domain::TimePoint now) const
{
    const std::uint64_t wanted = m_rarity.absent().word(word) & ~m_importing.word(word);
    if (wanted == 0)
        return 0;
    std::uint64_t reachable = 0;
    std::uint64_t anywhere = 0;
    for (const RemoteSite &remote : m_remotes)
        anywhere |= remote.available().word(word);
    for (const Route &route : m_routes) {
        if (route.site == RelayPlan::Origin) {
            if (originHasCapacity(now))
                reachable |= route.mask.word(word);
            reachable |= route.mask.word(word) & anywhere;
            continue;
        }
        const RemoteSite &remote = m_remotes[route.site];
        const bool isStalled = remote.isStalled(now, StallTimeout);
        reachable |= route.mask.word(word) & (isStalled ? anywhere : remote.available().word(word));
    }
    return wanted & reachable;
}

bool VersionSwarm::isOwnerBusy(std::uint32_t chunk, domain::TimePoint now) const
{
    const Member owner = m_owners[chunk];
    if (owner == NoMember || !m_members[owner].isActive)
        return true;
    const MemberState &state = m_members[owner];
    const std::size_t slots = state.window->limit(now);
    return state.fetches.size() >= slots || state.imports >= importSlots(state, slots, now);
}

bool VersionSwarm::originHasCapacity(domain::TimePoint now) const
{
    const double budget = m_options.originBudgetCopies * static_cast<double>(m_chunkCount)
            / static_cast<double>(m_regionCount);
    return static_cast<double>(m_originFetches) < budget
            && m_links.isUsable(SourceTable::Origin, now)
            && !m_sources.isAvoided(SourceTable::Origin, now);
}

std::optional<VersionSwarm::Import> VersionSwarm::pickImport(
        std::uint32_t chunk, domain::TimePoint now)
{
    std::size_t site = RelayPlan::Origin;
    for (const Route &route : m_routes) {
        if (route.mask.test(chunk))
            site = route.site;
    }
    if (site != RelayPlan::Origin) {
        if (std::optional<Import> import = pickFromSite(site, chunk, now))
            return import;
        if (!m_remotes[site].isStalled(now, StallTimeout))
            return std::nullopt;
    }
    // The chunk is routed to the origin or its route is stalled: prefer any site that holds a copy,
    // which saves a fetch from the origin.
    for (std::size_t other = 0; other < m_remotes.size(); ++other) {
        if (std::optional<Import> import = pickFromSite(other, chunk, now))
            return import;
    }
    if (site == RelayPlan::Origin && originHasCapacity(now))
        return Import{SourceTable::Origin, SourceTable::Origin};
    return std::nullopt;
}

std::optional<VersionSwarm::Import> VersionSwarm::pickFromSite(
        std::size_t site, std::uint32_t chunk, domain::TimePoint now)
{
    const RemoteSite &remote = m_remotes[site];
    if (!remote.available().test(chunk))
        return std::nullopt;
    const Source link = m_links.find(remote.site().dataCentre.value());
    if (!m_links.isUsable(link, now))
        return std::nullopt;
    const std::optional<Source> source = remote.pick(chunk, m_sources, random(MaxScanned), now);
    if (!source)
        return std::nullopt;
    return Import{*source, link};
}

void VersionSwarm::planLocal(
        Member member, std::size_t slots, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const std::size_t words = m_members[member].have.words().size();
    // One pass over the rarity classes, rarest first, fills all free slots.
    for (std::size_t rarity = 1; rarity < RarityIndex::Classes; ++rarity) {
        if (m_rarity.size(rarity) == 0)
            continue;
        const std::size_t first = random(words);
        std::size_t failures = 0;
        bool isOpen = m_members[member].fetches.size() < slots;
        for (std::size_t i = 0; i < words && isOpen; ++i) {
            const std::size_t word = (first + i) % words;
            isOpen = planLocalWord(member, rarity, word, slots, failures, now, plan);
        }
    }
}

/// Plans fetches of the chunks of one word; false when the slots or the tries are exhausted.
bool VersionSwarm::planLocalWord(Member member, std::size_t rarity, std::size_t word,
        std::size_t slots, std::size_t &failures, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const MemberState &state = m_members[member];
    const std::uint64_t bits = m_rarity.members(rarity).word(word) & ~state.have.word(word)
            & ~state.pending.word(word);
    return visitBits(bits, word, [&](std::size_t position) {
        const auto chunk = static_cast<std::uint32_t>(position);
        const std::optional<Member> holder = pickLocal(member, chunk, {}, now);
        if (holder)
            assignLocal(member, chunk, *holder, now, plan);
        else
            ++failures;
        return failures < MaxTries && state.fetches.size() < slots;
    });
}

std::optional<VersionSwarm::Member> VersionSwarm::pickLocal(
        Member member, std::uint32_t chunk, std::optional<Source> except, domain::TimePoint now)
{
    constexpr std::size_t Sampled = 8;
    std::optional<Member> best;
    double bestCost = std::numeric_limits<double>::max();
    for (const Member holder : m_recent[chunk])
        consider(holder, member, chunk, except, now, best, bestCost);
    // Holders of common chunks are found by sampling: lists of all holders would need memory for
    // endpoints x chunks.
    const std::size_t count = m_activeMembers.size();
    const std::size_t first = random(count);
    for (std::size_t i = 0; i < std::min(Sampled, count); ++i) {
        const Member holder = m_activeMembers[(first + i) % count];
        consider(holder, member, chunk, except, now, best, bestCost);
    }
    return best;
}

void VersionSwarm::consider(Member candidate, Member member, std::uint32_t chunk,
        std::optional<Source> except, domain::TimePoint now, std::optional<Member> &best,
        double &bestCost) const
{
    if (candidate == NoMember || candidate == member)
        return;
    const MemberState &state = m_members[candidate];
    if (!state.isActive || !state.have.test(chunk) || state.source == except
            || !m_sources.isUsable(state.source, now))
        return;
    const bool isBusy = state.slowUntil > now && m_sources.outstanding(state.source) > 0;
    const auto entry = m_members[member].fetchesBySource.find(state.source);
    const std::size_t fetchesFromSource
            = entry == m_members[member].fetchesBySource.end() ? 0 : entry->second;
    // One receiver uses at most half of the slots of a source.
    const bool isAtShareLimit = 2 * fetchesFromSource >= m_sources.limit(state.source, now);
    // A holder that has sent its share is not used while the chunk is already being fetched: the
    // new copy becomes a source.
    const bool isExhausted = !except && m_inFlight[chunk] > 0 && hasSentShare(state);
    if (isBusy || isAtShareLimit || isExhausted || !isTrusted(candidate, member, now))
        return;
    const double candidateCost = cost(state);
    if (candidateCost >= bestCost)
        return;
    best = candidate;
    bestCost = candidateCost;
}

bool VersionSwarm::isTrusted(Member holder, Member member, domain::TimePoint now) const
{
    const Source source = m_members[holder].source;
    if (m_sources.isAvoided(source, now))
        return false;
    const auto avoided = m_members[member].avoided.find(source);
    return avoided == m_members[member].avoided.end() || avoided->second <= now;
}

bool VersionSwarm::hasTrustedHolder(Member member, std::uint32_t chunk, domain::TimePoint now) const
{
    return std::any_of(m_activeMembers.begin(), m_activeMembers.end(), [&](Member holder) {
        return m_members[holder].have.test(chunk) && isTrusted(holder, member, now);
    });
}

/// Imports a chunk whose holders in this data centre all sent bad data or are unreachable.
bool VersionSwarm::planUntrusted(Member member, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const MemberState &state = m_members[member];
    const std::size_t words = state.have.words().size();
    const std::size_t first = random(words);
    std::size_t tries = 0;
    bool isAssigned = false;
    for (std::size_t i = 0; i < words && tries < MaxTries && !isAssigned; ++i) {
        const std::size_t word = (first + i) % words;
        const std::uint64_t bits = ~m_rarity.absent().word(word) & ~state.have.word(word)
                & ~state.pending.word(word) & ~m_importing.word(word);
        visitBits(bits, word, [&](std::size_t position) {
            if (position >= m_chunkCount)
                return false;
            const auto chunk = static_cast<std::uint32_t>(position);
            if (!hasTrustedHolder(member, chunk, now)) {
                if (const std::optional<Import> import = pickImport(chunk, now)) {
                    assignImport(member, chunk, *import, now, plan);
                    isAssigned = true;
                }
            }
            return !isAssigned && ++tries < MaxTries;
        });
    }
    return isAssigned;
}

bool VersionSwarm::hasSentShare(const MemberState &state) const
{
    constexpr double ShareOfCopies = 1;
    return state.uploads > ShareOfCopies * static_cast<double>(m_chunkCount);
}

double VersionSwarm::cost(const MemberState &state) const
{
    // A copy sent weighs as much as many fetches in progress, which keeps uploads even. An endpoint
    // that has sent its share is chosen only when no other can send.
    constexpr double CopyWeight = 20;
    constexpr double ShareCost = 1000;
    constexpr double MaxSlowness = 16;
    const double copies = static_cast<double>(state.uploads) / static_cast<double>(m_chunkCount);
    const double slowness = std::min(m_sources.slowness(state.source), MaxSlowness);
    return static_cast<double>(m_sources.outstanding(state.source) + 1) * slowness
            + copies * CopyWeight + (hasSentShare(state) ? ShareCost : 0);
}

void VersionSwarm::assignLocal(Member member, std::uint32_t chunk, Member holder,
        domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const domain::TimePoint deadline
            = now + fetchTimeout(m_localSeconds, InitialLocalTimeout, MinLocalTimeout);
    ++m_members[holder].uploads;
    add(m_members[member], {chunk, m_members[holder].source, {}, now, deadline}, plan);
}

void VersionSwarm::assignImport(Member member, std::uint32_t chunk, const Import &import,
        domain::TimePoint now, protocol::SwarmPlan &plan)
{
    ++m_importAttempts[chunk];
    const domain::TimePoint deadline = now + importTimeout(chunk);
    m_importing.set(chunk);
    m_overdue.reset(chunk);
    m_importTimers.push({now + MinImportTimeout, now, member, chunk});
    m_links.started(import.link);
    ++m_members[member].imports;
    if (import.source == SourceTable::Origin)
        ++m_originFetches;
    for (RemoteSite &remote : m_remotes)
        remote.recordFetch(import.source);
    add(m_members[member], {chunk, import.source, import.link, now, deadline}, plan);
}

domain::Duration VersionSwarm::importTimeout(std::uint32_t chunk) const
{
    // The timeout doubles with each attempt, so that a slow link does not carry a chunk twice.
    constexpr std::uint32_t MaxDoublings = 4;
    const auto attempts = m_importAttempts.find(chunk);
    const std::uint32_t tries = attempts == m_importAttempts.end() ? 1 : attempts->second;
    return fetchTimeout(m_importSeconds, InitialImportTimeout, MinImportTimeout)
            * (1U << std::min(tries - 1, MaxDoublings));
}

void VersionSwarm::add(MemberState &state, Fetch fetch, protocol::SwarmPlan &plan)
{
    state.pending.set(fetch.chunk);
    ++m_inFlight[fetch.chunk];
    state.window->started();
    m_sources.started(*fetch.source);
    ++state.fetchesBySource[*fetch.source];
    protocol::FetchAssignment &assignment = *plan.add_fetches();
    assignment.set_chunk(fetch.chunk);
    assignment.set_source(m_sources.address(*fetch.source));
    fetch.heldBefore = state.held;
    state.fetches.push_back(fetch);
}

void VersionSwarm::expireImports(domain::TimePoint now)
{
    while (!m_importTimers.empty() && m_importTimers.top().deadline <= now) {
        const ImportTimer timer = m_importTimers.top();
        m_importTimers.pop();
        const MemberState &state = m_members[timer.member];
        if (!state.isActive || !state.pending.test(timer.chunk)
                || !m_rarity.absent().test(timer.chunk))
            continue;
        // The mean import time may have changed since the fetch was planned.
        const domain::TimePoint deadline = timer.startedAt + importTimeout(timer.chunk);
        if (deadline > now) {
            const domain::TimePoint next = std::min(deadline, now + MinImportTimeout);
            m_importTimers.push({next, timer.startedAt, timer.member, timer.chunk});
            continue;
        }
        m_importing.reset(timer.chunk);
        m_overdue.set(timer.chunk);
    }
}

void VersionSwarm::replaceOverdue(Member member, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const std::size_t count = m_members[member].fetches.size();
    for (std::size_t i = 0; i < count; ++i) {
        Fetch &fetch = m_members[member].fetches[i];
        if (fetch.deadline > now)
            continue;
        fetch.deadline = now + 2 * (now - fetch.startedAt);
        // A slow receiver must not block the source's slots for others.
        if (fetch.source && fetch.isCounted) {
            m_sources.dropped(*fetch.source);
            fetch.isCounted = false;
        }
        // When few other chunks arrived in the meantime, the endpoint's own link is slow, and a
        // second fetch would add load to it.
        if (m_members[member].held >= fetch.heldBefore + m_options.minSlots)
            duplicate(member, i, now, plan);
    }
}

void VersionSwarm::planEndgame(Member member, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    constexpr std::size_t MaxEndgame = 2;
    constexpr double EndgameAge = 2;
    const MemberState &state = m_members[member];
    if (state.held + state.fetches.size() < m_chunkCount
            || m_duplicates > MaxEndgame * m_activeMembers.size())
        return;
    const std::chrono::duration<double> age(m_localSeconds * EndgameAge);
    const std::size_t count = std::min(state.fetches.size(), MaxEndgame);
    for (std::size_t i = 0; i < count; ++i) {
        if (m_localSeconds > 0 && now - m_members[member].fetches[i].startedAt > age)
            duplicate(member, i, now, plan);
    }
}

bool VersionSwarm::duplicate(
        Member member, std::size_t position, domain::TimePoint now, protocol::SwarmPlan &plan)
{
    const MemberState &state = m_members[member];
    const Fetch fetch = state.fetches[position];
    const auto same = std::count_if(state.fetches.begin(), state.fetches.end(),
            [&](const Fetch &other) { return other.chunk == fetch.chunk; });
    if (same > 1)
        return false;
    const std::optional<Member> holder = pickLocal(member, fetch.chunk, fetch.source, now);
    if (!holder)
        return false;
    ++m_duplicates;
    assignLocal(member, fetch.chunk, *holder, now, plan);
    return true;
}

} // namespace oriolerill::distribution::internal
