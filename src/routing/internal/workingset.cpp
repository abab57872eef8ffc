#include "routing/workingset.h"

#include "domain/rendezvous.h"

#include <algorithm>
#include <map>
#include <utility>

namespace oriolerill::routing {

namespace {

/// Endpoints by descending weight for the key.
std::vector<const ListedEndpoint *> ranked(
        const std::string &key, const std::vector<const ListedEndpoint *> &endpoints)
{
    std::vector<std::pair<std::uint64_t, const ListedEndpoint *>> weighted;
    weighted.reserve(endpoints.size());
    for (const ListedEndpoint *endpoint : endpoints)
        weighted.emplace_back(domain::rendezvousWeight(key, endpoint->id.value()), endpoint);
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::vector<const ListedEndpoint *> order;
    order.reserve(weighted.size());
    for (const auto &[weight, endpoint] : weighted)
        order.push_back(endpoint);
    return order;
}

} // namespace

WorkingSet::WorkingSet(
        std::string entry, domain::DataCentreId dataCentre, WorkingSetOptions options)
    : m_entry(std::move(entry))
    , m_dataCentre(std::move(dataCentre))
    , m_options(options)
{}

void WorkingSet::update(const std::vector<const ListedEndpoint *> &engines,
        const std::vector<const ListedEndpoint *> &withdrawn)
{
    m_engines.clear();
    m_engineSet.clear();
    m_countingEngines.clear();
    m_localCountingEngines.clear();
    std::vector<const ListedEndpoint *> remote;
    for (const ListedEndpoint *engine : ranked(m_entry, engines)) {
        if (engine->dataCentre != m_dataCentre)
            remote.push_back(engine);
        else if (m_engines.size() < m_options.maxLocal)
            m_engines.push_back(engine->id);
    }
    for (const ListedEndpoint *engine : remote) {
        if (m_engines.size() >= m_options.maxEngines)
            break;
        m_engines.push_back(engine->id);
    }
    m_engineSet.insert(m_engines.begin(), m_engines.end());
    // One key for all entries, so that all of them choose the same agents.
    std::vector<const ListedEndpoint *> all = engines;
    all.insert(all.end(), withdrawn.begin(), withdrawn.end());
    std::map<domain::DataCentreId, std::size_t> counted;
    for (const ListedEndpoint *engine : ranked("entries", all)) {
        if (counted[engine->dataCentre]++ >= m_options.countingPerDataCentre)
            continue;
        m_countingEngines.push_back(engine->id);
        if (engine->dataCentre == m_dataCentre)
            m_localCountingEngines.push_back(engine->id);
    }
}

} // namespace oriolerill::routing
