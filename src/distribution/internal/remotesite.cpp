#include "distribution/internal/remotesite.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oriolerill::distribution::internal {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxHolders = 64;
constexpr domain::Duration HolderLifetime = 10s;
constexpr domain::Duration UnreachableTimeout = 4s;
constexpr domain::Duration EmptyTimeout = 3s;
constexpr int MinFailures = 2;

} // namespace

RemoteSite::RemoteSite(SwarmSite site, domain::TimePoint now)
    : m_site(std::move(site))
    , m_lastReply(now)
    , m_lastProgress(now)
    , m_lastNonEmpty(now)
{}

void RemoteSite::applyReply(const protocol::HaveReply &reply, std::size_t chunks,
        SourceTable &sources, domain::TimePoint now)
{
    m_lastReply = now;
    m_failures = 0;
    if (reply.holders_size() > 0)
        m_lastNonEmpty = now;
    for (const protocol::HaveHolder &holder : reply.holders())
        applyHolder(holder, chunks, sources, now);
    std::erase_if(m_holders,
            [now](const Holder &holder) { return holder.receivedAt + HolderLifetime < now; });
    HaveMap available(chunks);
    for (const Holder &holder : m_holders) {
        if (holder.have.size() == chunks)
            available.merge(holder.have);
    }
    if (available.count() > m_available.count())
        m_lastProgress = now;
    m_available = std::move(available);
}

void RemoteSite::applyHolder(const protocol::HaveHolder &holder, std::size_t chunks,
        SourceTable &sources, domain::TimePoint now)
{
    // An endpoint without the manifest is listed with an empty map.
    if (holder.address().empty() || holder.have().empty())
        return;
    const SourceTable::Index source = sources.find(holder.address());
    auto entry = std::find_if(m_holders.begin(), m_holders.end(),
            [source](const Holder &known) { return known.source == source; });
    if (entry == m_holders.end()) {
        if (m_holders.size() == MaxHolders)
            m_holders.erase(m_holders.begin());
        entry = m_holders.insert(m_holders.end(), Holder{source, {}, now});
    }
    entry->have = HaveMap::fromBytes(holder.have(), chunks);
    entry->receivedAt = now;
}

bool RemoteSite::isUnreachable(domain::TimePoint now) const
{
    return m_failures >= MinFailures && now - m_lastReply > UnreachableTimeout;
}

bool RemoteSite::isWithoutEndpoints(domain::TimePoint now) const
{
    return m_lastReply - m_lastNonEmpty > EmptyTimeout && now - m_lastNonEmpty > EmptyTimeout;
}

bool RemoteSite::isStalled(domain::TimePoint now, domain::Duration limit) const
{
    return now - m_lastProgress > limit;
}

std::optional<SourceTable::Index> RemoteSite::pick(std::size_t chunk, const SourceTable &sources,
        std::size_t rotation, domain::TimePoint now) const
{
    // A fetch in progress counts as much as several completed ones.
    constexpr std::size_t OutstandingWeight = 4;
    std::optional<SourceTable::Index> best;
    std::size_t bestCost = 0;
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
        const Holder &holder = m_holders[(i + rotation) % m_holders.size()];
        if (!holder.have.test(chunk) || !sources.isUsable(holder.source, now))
            continue;
        const std::size_t cost
                = OutstandingWeight * sources.outstanding(holder.source) + holder.fetchCount;
        if (best && cost >= bestCost)
            continue;
        best = holder.source;
        bestCost = cost;
    }
    return best;
}

void RemoteSite::recordFetch(SourceTable::Index source)
{
    for (Holder &holder : m_holders) {
        if (holder.source == source)
            ++holder.fetchCount;
    }
}

std::optional<SourceTable::Index> RemoteSite::pickForManifest(
        const SourceTable &sources, std::size_t rotation, domain::TimePoint now) const
{
    for (std::size_t i = 0; i < m_holders.size(); ++i) {
        const Holder &holder = m_holders[(i + rotation) % m_holders.size()];
        if (sources.isUsable(holder.source, now))
            return holder.source;
    }
    return std::nullopt;
}

} // namespace oriolerill::distribution::internal
