#pragma once

#include "domain/strongid.h"
#include "routing/endpointlist.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::routing {

struct WorkingSetOptions
{
    /// Engines of the own data centre that one entry works with. A choice among twelve finds a free
    /// place nearly as often as one among all, and an engine's places are split among fewer
    /// entries; more cost a report each tenth of a second.
    std::size_t local = 12;
    /// Engines in all; those of other data centres make up for missing local ones.
    std::size_t whole = 24;
    /// Engines of each data centre whose agents hear from all entries, and count them.
    std::size_t countersEach = 2;
};

/// The engines that one entry knows the load of and sends to.
///
/// Load pattern: a fleet of hundreds, where reports of every engine to every entry cost more than
/// the requests, and eight places split among all entries are less than one each. Each entry ranks
/// the engines by a hash of both names: the sets of the entries overlap evenly, and change little
/// when engines or entries come and go.
class WorkingSet
{
public:
    WorkingSet(std::string entry, domain::DataCentreId dataCentre, WorkingSetOptions options = {});

    /// Takes the engines that may get requests now; those of one service.
    void update(const std::vector<const ListedEndpoint *> &engines);

    const std::vector<domain::EndpointId> &engines() const { return m_engines; }
    bool contains(const domain::EndpointId &engine) const { return m_known.count(engine) > 0; }
    /// Engines of all data centres whose agents count the entries; the same at each entry.
    const std::vector<domain::EndpointId> &countingEngines() const { return m_counters; }
    /// Those of the own data centre.
    const std::vector<domain::EndpointId> &localCountingEngines() const { return m_localCounters; }

private:
    std::string m_entry;
    domain::DataCentreId m_dataCentre;
    WorkingSetOptions m_options;
    std::vector<domain::EndpointId> m_engines;
    std::set<domain::EndpointId> m_known;
    std::vector<domain::EndpointId> m_counters;
    std::vector<domain::EndpointId> m_localCounters;
};

} // namespace oriolerill::routing
