#include "distribution/swarmplanner.h"

#include "distribution/internal/switchgranttable.h"
#include "distribution/internal/versionswarm.h"
#include "domain/quantity.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace oriolerill::distribution {

using namespace std::chrono_literals;
using domain::Digest;
using domain::EndpointId;
using domain::TimePoint;
using internal::SourceTable;
using internal::VersionSwarm;

namespace {

constexpr int MaxMissedReports = 5;
constexpr domain::Duration ReportGrace = 1s;
// During this period agents with a complete version report at the active interval too. When
// trackers are replaced in quick succession, each one then quickly receives the reports of all
// holders.
constexpr domain::Duration NewTrackerPeriod = 5s;

std::uint32_t milliseconds(domain::Duration duration)
{
    return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

class SwarmPlanner::Implementation
{
public:
    Implementation(SwarmOptions options, TimePoint startedAt)
        : m_options(std::move(options))
        , m_sources(m_options.minSlots)
        , m_links(m_options.minSlots)
        , m_grants(startedAt, m_options.grantLease)
        , m_newTrackerUntil(startedAt + NewTrackerPeriod)
    {}

    void configure(const Digest &manifest, std::uint32_t priority,
            const std::vector<SwarmSite> &sites, TimePoint now)
    {
        Version &entry = version(manifest, now);
        entry.priority = priority;
        entry.swarm->setSites(sites, now);
    }

    bool hasVersion(const Digest &manifest) const { return m_versions.contains(manifest); }
    void setMaxUnavailable(std::size_t endpoints) { m_maxUnavailable = endpoints; }

    protocol::SwarmPlan report(const protocol::SwarmReport &report, TimePoint now)
    {
        protocol::SwarmPlan plan;
        const std::optional<Digest> manifest = Digest::fromBytes(report.manifest_digest());
        const EndpointId id(report.endpoint().id());
        if (!manifest || id.isEmpty() || report.endpoint().request_address().empty()) {
            plan.set_next_report_ms(milliseconds(m_options.idleReportInterval));
            return plan;
        }
        Agent *agent = accept(id, report.endpoint(), now);
        // A late report of an earlier incarnation must not restore the chunks that it held.
        if (!agent)
            return plan;
        Version &entry = version(*manifest, now);
        const VersionSwarm::Member member = memberOf(*agent, *manifest, entry);
        entry.swarm->applyReport(member, report, now);
        const std::size_t slots = slotsOf(*agent, *manifest, entry, now);
        entry.swarm->plan(member, slots, now, plan);
        const bool isComplete = entry.swarm->isComplete(member);
        answerGrant(report, id, *manifest, now, plan);
        const bool isIdle = now >= m_newTrackerUntil && isComplete && !report.wants_switch_grant()
                && !report.switching();
        const domain::Duration interval
                = isIdle ? m_options.idleReportInterval : m_options.activeReportInterval;
        plan.set_next_report_ms(milliseconds(interval));
        agent->versions[*manifest].expiresAt = now + MaxMissedReports * interval + ReportGrace;
        agent->versions[*manifest].isComplete = isComplete;
        addPeers(id, plan);
        expire(now);
        return plan;
    }

    std::vector<SwarmQuery> dueQueries(TimePoint now)
    {
        std::vector<SwarmQuery> queries;
        for (auto &[manifest, entry] : m_versions) {
            for (domain::DataCentreId &dataCentre : entry.swarm->dueQueries(now))
                queries.push_back({std::move(dataCentre), manifest});
        }
        return queries;
    }

    void onHaveReply(const SwarmQuery &query, const protocol::HaveReply &reply, TimePoint now)
    {
        const auto entry = m_versions.find(query.manifest);
        if (entry != m_versions.end())
            entry->second.swarm->onHaveReply(query.dataCentre, reply, now);
    }

    void onQueryFailure(const SwarmQuery &query, TimePoint now)
    {
        const auto entry = m_versions.find(query.manifest);
        if (entry != m_versions.end())
            entry->second.swarm->onQueryFailure(query.dataCentre, now);
    }

    protocol::HaveReply have(const Digest &manifest, TimePoint now)
    {
        const auto entry = m_versions.find(manifest);
        return entry == m_versions.end() ? protocol::HaveReply() : entry->second.swarm->have(now);
    }

    std::size_t agentCount() const { return m_agents.size(); }
    std::size_t outstandingGrants(TimePoint now) const { return m_grants.outstanding(now); }

private:
    struct Membership
    {
        VersionSwarm::Member member = 0;
        TimePoint expiresAt;
        bool isComplete = false;
    };
    struct Agent
    {
        explicit Agent(std::size_t slots)
            : window(slots)
        {}

        domain::Incarnation incarnation;
        std::string address;
        std::string controlAddress;
        internal::RateWindow window;
        std::unordered_map<Digest, Membership> versions;
    };
    struct Version
    {
        std::uint32_t priority = 0;
        std::unique_ptr<VersionSwarm> swarm;
    };

    Version &version(const Digest &manifest, TimePoint now)
    {
        Version &entry = m_versions[manifest];
        if (!entry.swarm) {
            entry.swarm
                    = std::make_unique<VersionSwarm>(manifest, m_options, m_sources, m_links, now);
        }
        return entry;
    }

    Agent *accept(const EndpointId &id, const protocol::EndpointInfo &info, TimePoint now)
    {
        const domain::Incarnation incarnation(info.incarnation());
        const auto existing = m_agents.find(id);
        if (existing != m_agents.end()) {
            if (incarnation < existing->second->incarnation)
                return nullptr;
            const bool isSame = incarnation == existing->second->incarnation
                    && existing->second->address == info.request_address();
            if (isSame)
                return existing->second.get();
            remove(id);
        }
        const auto sameAddress = m_idsByAddress.find(info.request_address());
        if (sameAddress != m_idsByAddress.end())
            remove(EndpointId(sameAddress->second));
        auto agent = std::make_unique<Agent>(m_options.minSlots);
        agent->incarnation = incarnation;
        agent->address = info.request_address();
        agent->controlAddress = info.control_address();
        m_idsByAddress[agent->address] = id;
        m_order.push_back(id);
        m_nextExpiry = std::min(m_nextExpiry, now + ReportGrace);
        return (m_agents[id] = std::move(agent)).get();
    }

    void remove(const EndpointId &id)
    {
        const auto agent = m_agents.find(id);
        for (const auto &[manifest, membership] : agent->second->versions)
            m_versions.at(manifest).swarm->leave(membership.member);
        m_idsByAddress.erase(agent->second->address);
        std::erase(m_order, id);
        m_agents.erase(agent);
    }

    static VersionSwarm::Member memberOf(Agent &agent, const Digest &manifest, Version &entry)
    {
        const auto [membership, isNew] = agent.versions.try_emplace(manifest);
        if (isNew)
            membership->second.member = entry.swarm->join(agent.address, agent.window);
        return membership->second.member;
    }

    /// A version gets a quarter of the agent's slots while an incomplete one takes precedence.
    std::size_t slotsOf(
            const Agent &agent, const Digest &manifest, const Version &entry, TimePoint now) const
    {
        constexpr std::size_t YieldDivisor = 4;
        const std::size_t slots = agent.window.limit(now);
        for (const auto &[other, membership] : agent.versions) {
            if (other == manifest || membership.isComplete)
                continue;
            if (hasPrecedence(m_versions.at(other), entry))
                return std::max<std::size_t>(1, slots / YieldDivisor);
        }
        return slots;
    }

    static bool hasPrecedence(const Version &a, const Version &b)
    {
        if (a.priority != b.priority)
            return a.priority > b.priority;
        return a.swarm->chunkCount() < b.swarm->chunkCount();
    }

    void answerGrant(const protocol::SwarmReport &report, const EndpointId &id,
            const Digest &manifest, TimePoint now, protocol::SwarmPlan &plan)
    {
        const bool isGranted = m_grants.update(id, manifest, report.wants_switch_grant(),
                report.switching(), m_maxUnavailable, now);
        plan.set_switch_granted(isGranted);
        if (isGranted)
            plan.set_grant_ms(milliseconds(m_options.grantLease));
    }

    void addPeers(const EndpointId &receiver, protocol::SwarmPlan &plan)
    {
        constexpr std::size_t MaxNamedPeers = 4;
        const std::size_t count = std::min(MaxNamedPeers, m_order.size());
        for (std::size_t i = 0; i < count; ++i) {
            m_peerCursor = (m_peerCursor + 1) % m_order.size();
            if (m_order[m_peerCursor] == receiver)
                continue;
            const Agent &agent = *m_agents.at(m_order[m_peerCursor]);
            protocol::SwarmPeer &peer = *plan.add_peers();
            peer.set_request_address(agent.address);
            peer.set_control_address(agent.controlAddress);
        }
    }

    void expire(TimePoint now)
    {
        if (now < m_nextExpiry)
            return;
        m_nextExpiry = now + ReportGrace;
        std::vector<EndpointId> expired;
        for (auto &[id, agent] : m_agents) {
            std::erase_if(agent->versions, [&](const auto &entry) {
                if (entry.second.expiresAt > now)
                    return false;
                m_versions.at(entry.first).swarm->leave(entry.second.member);
                return true;
            });
            if (agent->versions.empty())
                expired.push_back(id);
        }
        for (const EndpointId &id : expired)
            remove(id);
        std::erase_if(m_versions,
                [](const auto &entry) { return entry.second.swarm->memberCount() == 0; });
    }

    SwarmOptions m_options;
    SourceTable m_sources;
    SourceTable m_links;
    internal::SwitchGrantTable m_grants;
    TimePoint m_newTrackerUntil;
    std::size_t m_maxUnavailable = 1;
    std::unordered_map<Digest, Version> m_versions;
    std::unordered_map<EndpointId, std::unique_ptr<Agent>> m_agents;
    std::unordered_map<std::string, EndpointId> m_idsByAddress;
    std::vector<EndpointId> m_order;
    std::size_t m_peerCursor = 0;
    TimePoint m_nextExpiry = TimePoint::max();
};

SwarmPlanner::SwarmPlanner(SwarmOptions options, TimePoint startedAt)
    : m_implementation(std::make_unique<Implementation>(std::move(options), startedAt))
{}

SwarmPlanner::~SwarmPlanner() = default;
SwarmPlanner::SwarmPlanner(SwarmPlanner &&) noexcept = default;
SwarmPlanner &SwarmPlanner::operator=(SwarmPlanner &&) noexcept = default;

void SwarmPlanner::configure(const Digest &manifest, std::uint32_t priority,
        const std::vector<SwarmSite> &sites, TimePoint now)
{
    m_implementation->configure(manifest, priority, sites, now);
}

bool SwarmPlanner::hasVersion(const Digest &manifest) const
{
    return m_implementation->hasVersion(manifest);
}

void SwarmPlanner::setMaxUnavailable(std::size_t endpoints)
{
    m_implementation->setMaxUnavailable(endpoints);
}

protocol::SwarmPlan SwarmPlanner::report(const protocol::SwarmReport &report, TimePoint now)
{
    return m_implementation->report(report, now);
}

std::vector<SwarmQuery> SwarmPlanner::dueQueries(TimePoint now)
{
    return m_implementation->dueQueries(now);
}

void SwarmPlanner::onHaveReply(
        const SwarmQuery &query, const protocol::HaveReply &reply, TimePoint now)
{
    m_implementation->onHaveReply(query, reply, now);
}

void SwarmPlanner::onQueryFailure(const SwarmQuery &query, TimePoint now)
{
    m_implementation->onQueryFailure(query, now);
}

protocol::HaveReply SwarmPlanner::have(const Digest &manifest, TimePoint now)
{
    return m_implementation->have(manifest, now);
}

std::size_t SwarmPlanner::agentCount() const
{
    return m_implementation->agentCount();
}

std::size_t SwarmPlanner::outstandingGrants(TimePoint now) const
{
    return m_implementation->outstandingGrants(now);
}

} // namespace oriolerill::distribution
