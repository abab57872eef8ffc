#pragma once

#include "distribution/fetchscheduler.h"
#include "distribution/manifestchunk.h"
#include "distribution/swarmplanner.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>

namespace oriolerill::distribution {

using namespace std::chrono_literals;

struct DriverOptions
{
    std::vector<SwarmSite> sites;
    std::size_t agentsPerSite = 5;
    std::size_t chunks = 400;
    double chunkBytes = 256 * 1024;
    // Rates of the links, in bytes per second.
    double vmRate = 12.5e6;
    double wanRate = 3.125e6;
    double originRate = 12.5e6;
    std::uint64_t seed = 1;
};

/// Simulates trackers and agents over links of fixed rate with a manual clock.
class SwarmDriver
{
public:
    static constexpr auto Step = 10ms;
    static constexpr std::size_t Origin = std::numeric_limits<std::size_t>::max();

    struct Agent
    {
        std::string id;
        std::size_t site = 0;
        std::uint64_t incarnation = 1;
        bool isUp = true;
        double rate = 0;
        double received = 0;
        double sent = 0;
        std::unique_ptr<FetchScheduler> scheduler;
        std::set<domain::Digest> stored;
        std::map<domain::Digest, domain::TimePoint> nextReport;
        domain::TimePoint lastReport;
        domain::TimePoint doneAt;
    };
    struct Flow
    {
        std::size_t agent = 0;
        std::size_t source = Origin;
        FetchId id;
        domain::Digest manifest;
        std::uint32_t chunk = 0;
        double left = 0;
        double rate = 0;
        domain::TimePoint movedAt;
    };

    explicit SwarmDriver(DriverOptions options)
        : m_options(std::move(options))
    {
        for (std::size_t site = 0; site < m_options.sites.size(); ++site) {
            planners.push_back(makePlanner(site));
            isTrackerUp.push_back(true);
            for (std::size_t i = 0; i < m_options.agentsPerSite; ++i) {
                Agent agent;
                agent.site = site;
                agent.rate = m_options.vmRate;
                agents.push_back(std::move(agent));
                restartAgent(agents.size() - 1);
            }
        }
    }

    /// Publishes a version. Chunks with equal labels have equal content.
    std::shared_ptr<const Manifest> publish(
            const std::string &name, const std::function<std::string(std::size_t)> &label = {})
    {
        std::vector<ChunkInfo> chunks;
        for (std::size_t i = 0; i < m_options.chunks; ++i) {
            const std::string text = label ? label(i) : name + std::to_string(i);
            const auto size = static_cast<std::uint64_t>(m_options.chunkBytes);
            chunks.push_back({domain::Digest::of(text), domain::Bytes(size), {}});
        }
        const std::string text = Manifest::format("model", name, chunks);
        auto manifest = std::make_shared<const Manifest>(
                *Manifest::parse(text, domain::Digest::of(text)));
        manifests[manifest->digest()] = manifest;
        return manifest;
    }

    void requestAll(const Manifest &manifest, std::uint32_t priority = 0)
    {
        m_priorities[manifest.digest()] = priority;
        for (std::size_t i = 0; i < agents.size(); ++i)
            agents[i].scheduler->request(manifest.digest(), priority, now);
    }

    void release(std::size_t agent, const Manifest &manifest)
    {
        apply(agent, agents[agent].scheduler->release(manifest.digest(), now));
        agents[agent].nextReport.erase(manifest.digest());
        std::erase_if(agents[agent].stored, [&](const domain::Digest &chunk) {
            const auto &wanted = agents[agent].scheduler->versions();
            return std::none_of(wanted.begin(), wanted.end(), [&](const domain::Digest &other) {
                const auto &chunks = manifests.at(other)->chunks();
                return std::any_of(chunks.begin(), chunks.end(),
                        [&](const ChunkInfo &info) { return info.digest == chunk; });
            });
        });
    }

    /// Restarts the agent with empty memory; it requests all versions passed to requestAll().
    void restartAgent(std::size_t index)
    {
        Agent &agent = agents[index];
        agent.id = "vm" + std::to_string(index);
        ++agent.incarnation;
        agent.stored.clear();
        agent.nextReport.clear();
        agent.doneAt = {};
        FetchSchedulerOptions options;
        options.address = agent.id;
        agent.scheduler = std::make_unique<FetchScheduler>(options, now);
        for (const auto &[manifest, priority] : m_priorities)
            agent.scheduler->request(manifest, priority, now);
        std::erase_if(m_flows, [index](const Flow &flow) { return flow.agent == index; });
    }

    void replaceTracker(std::size_t site) { planners[site] = makePlanner(site); }

    /// Runs until the condition holds; false when the time limit is reached first.
    bool runUntil(const std::function<bool()> &condition, domain::Duration limit)
    {
        const domain::TimePoint end = now + limit;
        while (now < end && !condition())
            step();
        return condition();
    }
    void runFor(domain::Duration time)
    {
        runUntil([] { return false; }, time);
    }
    bool runToEnd(const Manifest &manifest, domain::Duration limit)
    {
        return runUntil([&] { return isDone(manifest); }, limit);
    }
    bool isDone(const Manifest &manifest) const
    {
        return std::all_of(agents.begin(), agents.end(), [&](const Agent &agent) {
            return !agent.isUp || agent.scheduler->progress(manifest.digest()).isComplete();
        });
    }

    double size() const { return static_cast<double>(m_options.chunks) * m_options.chunkBytes; }
    double originCopies() const { return originBytes / size(); }
    double maxWanCopies() const
    {
        double maxCopies = 0;
        for (const auto &[link, bytes] : wanBytes)
            maxCopies = std::max(maxCopies, bytes / size());
        return maxCopies;
    }
    double maxVmCopies() const
    {
        double maxCopies = 0;
        for (const Agent &agent : agents)
            maxCopies = std::max(maxCopies, (agent.received + agent.sent) / size());
        return maxCopies;
    }
    double seconds() const { return std::chrono::duration<double>(now - m_startedAt).count(); }
    /// Lower bound of the push time over the simulated links.
    double boundSeconds() const
    {
        const auto regions = static_cast<double>(regionCount());
        const double cut = regions > 1 ? (regions - 1) * m_options.wanRate : m_options.vmRate;
        return size() / std::min({m_options.originRate, m_options.vmRate, cut});
    }

    domain::TimePoint now = domain::TimePoint() + std::chrono::hours(1);
    std::vector<std::unique_ptr<SwarmPlanner>> planners;
    std::vector<bool> isTrackerUp;
    std::vector<Agent> agents;
    std::map<domain::Digest, std::shared_ptr<const Manifest>> manifests;
    bool isOriginUp = true;
    /// Region that is cut off from all others.
    domain::RegionId cutRegion;
    /// Whether a source (an agent or Origin) sends a chunk corrupted.
    std::function<bool(std::size_t source, std::uint32_t chunk)> isCorrupted;
    double originBytes = 0;
    std::map<std::pair<domain::RegionId, domain::RegionId>, double> wanBytes;
    /// Number of corrupted chunks received, by source.
    std::map<std::size_t, int> corruptedFrom;

private:
    struct Link
    {
        double free = 0;
        std::vector<std::size_t> flows;
    };

    std::unique_ptr<SwarmPlanner> makePlanner(std::size_t site)
    {
        SwarmOptions options;
        options.dataCentre = m_options.sites[site].dataCentre;
        options.originRegion = m_options.sites.front().region;
        options.seed = m_options.seed + site;
        return std::make_unique<SwarmPlanner>(options, now);
    }

    std::size_t regionCount() const
    {
        std::set<domain::RegionId> regions;
        for (const SwarmSite &site : m_options.sites)
            regions.insert(site.region);
        return regions.size();
    }

    const domain::RegionId &regionOf(std::size_t source) const
    {
        const std::size_t site = source == Origin ? 0 : agents[source].site;
        return m_options.sites[site].region;
    }
    bool isReachable(const domain::RegionId &a, const domain::RegionId &b) const
    {
        return a == b || (a != cutRegion && b != cutRegion);
    }

    void step()
    {
        now += Step;
        for (std::size_t i = 0; i < agents.size(); ++i)
            runAgent(i);
        for (std::size_t site = 0; site < planners.size(); ++site)
            queryOtherTrackers(site);
        moveBytes();
        finishFlows();
    }

    void runAgent(std::size_t index)
    {
        Agent &agent = agents[index];
        if (!agent.isUp)
            return;
        apply(index, agent.scheduler->tick(now));
        if (!isTrackerUp[agent.site])
            return;
        for (const domain::Digest &manifest : agent.scheduler->versions()) {
            const bool isEarly
                    = agent.scheduler->isReportUrgent(manifest) && now >= agent.lastReport + 30ms;
            if (!isEarly && now < agent.nextReport[manifest])
                continue;
            agent.lastReport = now;
            report(index, manifest);
        }
    }

    void report(std::size_t index, const domain::Digest &manifest)
    {
        Agent &agent = agents[index];
        protocol::SwarmReport report = agent.scheduler->report(manifest);
        report.mutable_endpoint()->set_id(agent.id);
        report.mutable_endpoint()->set_incarnation(agent.incarnation);
        report.mutable_endpoint()->set_request_address(agent.id);
        report.mutable_endpoint()->set_control_address(agent.id);
        SwarmPlanner &planner = *planners[agent.site];
        planner.configure(manifest, m_priorities[manifest], m_options.sites, now);
        const protocol::SwarmPlan plan = planner.report(report, now);
        agent.nextReport[manifest] = now + std::chrono::milliseconds(plan.next_report_ms());
        apply(index, agent.scheduler->plan(manifest, plan, now));
    }

    void queryOtherTrackers(std::size_t site)
    {
        if (!isTrackerUp[site])
            return;
        for (const SwarmQuery &query : planners[site]->dueQueries(now)) {
            std::size_t other = 0;
            while (m_options.sites[other].dataCentre != query.dataCentre)
                ++other;
            const bool isAnswered = isTrackerUp[other]
                    && isReachable(m_options.sites[site].region, m_options.sites[other].region);
            if (isAnswered)
                planners[site]->onHaveReply(query, planners[other]->have(query.manifest, now), now);
            else
                planners[site]->onQueryFailure(query, now);
        }
    }

    void apply(std::size_t index, const FetchActions &actions)
    {
        for (const FetchAction &action : actions) {
            if (const auto *start = std::get_if<StartFetch>(&action))
                startFlow(index, *start);
            else if (const auto *cancel = std::get_if<CancelFetch>(&action))
                std::erase_if(m_flows, [&](const Flow &flow) {
                    return flow.agent == index && flow.id == cancel->id;
                });
            else
                queryPeer(index, std::get<QueryPeer>(action));
        }
    }

    void startFlow(std::size_t index, const StartFetch &start)
    {
        Flow flow{
                index, Origin, start.id, start.manifest, start.chunk, m_options.chunkBytes, 0, now};
        if (!start.source.empty())
            flow.source = std::stoul(start.source.substr(2));
        if (start.chunk == ManifestChunk)
            flow.left = 1000;
        m_flows.push_back(flow);
    }

    void queryPeer(std::size_t index, const QueryPeer &query)
    {
        const std::size_t peer = std::stoul(query.controlAddress.substr(2));
        if (!agents[peer].isUp)
            return;
        const protocol::SwarmReport report = agents[peer].scheduler->report(query.manifest);
        protocol::HaveReply reply;
        reply.add_holders()->set_address(agents[peer].id);
        reply.mutable_holders(0)->set_have(report.have());
        agents[index].scheduler->onPeerHave(query.manifest, reply, now);
    }

    bool isServed(const Flow &flow) const
    {
        if (!isReachable(regionOf(flow.agent), regionOf(flow.source)))
            return false;
        return flow.source == Origin ? isOriginUp : agents[flow.source].isUp;
    }

    /// Max-min fair rates by progressive filling.
    void moveBytes()
    {
        std::map<std::string, Link> links;
        std::vector<std::vector<Link *>> paths(m_flows.size());
        const auto use = [&](std::size_t flow, const std::string &name, double rate) {
            Link &link = links.try_emplace(name, Link{rate, {}}).first->second;
            link.flows.push_back(flow);
            paths[flow].push_back(&link);
        };
        for (std::size_t i = 0; i < m_flows.size(); ++i) {
            Flow &flow = m_flows[i];
            flow.rate = -1;
            if (!isServed(flow)) {
                flow.rate = 0;
                continue;
            }
            use(i, "in" + std::to_string(flow.agent), agents[flow.agent].rate);
            if (flow.source == Origin)
                use(i, "origin", m_options.originRate);
            else
                use(i, "out" + std::to_string(flow.source), agents[flow.source].rate);
            const domain::RegionId &from = regionOf(flow.source);
            const domain::RegionId &to = regionOf(flow.agent);
            if (from != to)
                use(i, from.value() + ">" + to.value(), m_options.wanRate);
        }
        for (;;) {
            Link *tightest = nullptr;
            double share = 0;
            for (auto &[name, link] : links) {
                const auto open = std::count_if(link.flows.begin(), link.flows.end(),
                        [&](std::size_t flow) { return m_flows[flow].rate < 0; });
                if (open > 0 && (!tightest || link.free / static_cast<double>(open) < share)) {
                    tightest = &link;
                    share = link.free / static_cast<double>(open);
                }
            }
            if (!tightest)
                break;
            for (const std::size_t flow : tightest->flows) {
                if (m_flows[flow].rate >= 0)
                    continue;
                m_flows[flow].rate = share;
                for (Link *link : paths[flow])
                    link->free -= share;
            }
        }
        for (Flow &flow : m_flows)
            move(flow);
    }

    void move(Flow &flow)
    {
        const double bytes
                = std::min(flow.left, flow.rate * std::chrono::duration<double>(Step).count());
        flow.left -= bytes;
        if (bytes > 0)
            flow.movedAt = now;
        agents[flow.agent].received += bytes;
        if (flow.source == Origin)
            originBytes += bytes;
        else
            agents[flow.source].sent += bytes;
        if (regionOf(flow.source) != regionOf(flow.agent))
            wanBytes[{regionOf(flow.source), regionOf(flow.agent)}] += bytes;
    }

    void finishFlows()
    {
        std::vector<Flow> ended;
        std::erase_if(m_flows, [&](const Flow &flow) {
            const bool isEnded = flow.left <= 0.5 || now - flow.movedAt > 2s;
            if (isEnded)
                ended.push_back(flow);
            return isEnded;
        });
        for (const Flow &flow : ended)
            finish(flow);
    }

    void finish(const Flow &flow)
    {
        Agent &agent = agents[flow.agent];
        const std::shared_ptr<const Manifest> manifest = manifests.at(flow.manifest);
        FetchOutcome outcome = flow.left <= 0.5 ? FetchOutcome::Verified : FetchOutcome::Failed;
        const bool isManifest = flow.chunk == ManifestChunk;
        if (!isManifest && outcome == FetchOutcome::Verified) {
            const domain::Digest &chunk = manifest->chunks()[flow.chunk].digest;
            if (flow.source != Origin && !agents[flow.source].stored.contains(chunk))
                outcome = FetchOutcome::Refused;
            else if (isCorrupted && isCorrupted(flow.source, flow.chunk))
                outcome = FetchOutcome::Corrupted;
            else
                agent.stored.insert(chunk);
            if (outcome == FetchOutcome::Corrupted)
                ++corruptedFrom[flow.source];
        }
        apply(flow.agent, agent.scheduler->onFetchEnd(flow.id, outcome, now));
        if (isManifest && outcome == FetchOutcome::Verified) {
            HaveMap have(manifest->chunks().size());
            for (std::size_t i = 0; i < have.size(); ++i) {
                if (agent.stored.contains(manifest->chunks()[i].digest))
                    have.set(i);
            }
            apply(flow.agent, agent.scheduler->onManifestVerified(manifest, have, now));
        }
    }

    DriverOptions m_options;
    domain::TimePoint m_startedAt = now;
    std::map<domain::Digest, std::uint32_t> m_priorities;
    std::vector<Flow> m_flows;
};

} // namespace oriolerill::distribution
