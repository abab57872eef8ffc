#include "distribution/originplan.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <set>

namespace oriolerill::distribution {

std::size_t laneCount(const OriginCapacity &capacity, const OriginPlanOptions &options)
{
    const double queueSeconds = std::chrono::duration<double>(options.queueTime).count();
    const double finished
            = capacity.isKnown() ? capacity.bytesPerSecond * queueSeconds / capacity.pieceBytes : 0;
    auto lanes = static_cast<std::size_t>(std::max(finished, 0.0));
    if (capacity.maxConnections > 0) {
        const double allowed
                = static_cast<double>(capacity.maxConnections) * options.connectionShare;
        lanes = std::min(lanes, static_cast<std::size_t>(allowed));
    }
    return std::max(lanes, options.minLanes);
}

OriginPlan::OriginPlan(const std::string &model, const std::vector<PushMember> &members,
        OriginCapacity capacity, OriginPlanOptions options)
    : m_capacity(capacity)
    , m_lanes(distribution::laneCount(capacity, options))
{
    std::map<std::string, std::set<std::string>> hosts;
    for (const PushMember &member : members)
        hosts[member.dataCentre.value()].insert(member.host);
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const auto &[name, unused] : hosts)
        names.push_back(name);
    std::map<std::string, std::set<std::string>> first;
    const std::string key = "origin/" + model;
    const std::vector<std::string> ranked = domain::rendezvousRank(key, names);
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        Lane &lane = m_lanes[i];
        // Each data centre is the home of about the same number of lanes.
        for (std::size_t d = 0; d < ranked.size(); ++d)
            lane.dataCentres.emplace_back(ranked[(i + d) % ranked.size()]);
        for (const domain::DataCentreId &dataCentre : lane.dataCentres) {
            const std::set<std::string> &local = hosts[dataCentre.value()];
            std::vector<std::string> &readers = lane.readers[dataCentre];
            readers = domain::rendezvousRank(key + '/' + std::to_string(i),
                    std::vector<std::string>(local.begin(), local.end()));
            if (dataCentre != lane.dataCentres.front())
                continue;
            // A VM that is the first reader of several lanes would have to send the pieces of all.
            std::set<std::string> &taken = first[dataCentre.value()];
            if (taken.size() == local.size())
                taken.clear();
            const auto free = std::find_if(readers.begin(), readers.end(),
                    [&](const std::string &host) { return taken.count(host) == 0; });
            std::rotate(readers.begin(), free, free + 1);
            taken.insert(readers.front());
        }
    }
}

const std::vector<std::string> &OriginPlan::readers(
        std::size_t lane, const domain::DataCentreId &dataCentre) const
{
    static const std::vector<std::string> none;
    const auto found = m_lanes[lane].readers.find(dataCentre);
    return found == m_lanes[lane].readers.end() ? none : found->second;
}

} // namespace oriolerill::distribution
