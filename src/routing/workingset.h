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
    /// Maximum number of engines of the local data centre. A choice among twelve finds a free slot
    /// nearly as often as one among all, and an engine's slots are split among fewer entries; each
    /// further engine costs a report each tenth of a second.
    std::size_t maxLocal = 12;
    /// Maximum number of engines; those of other data centres make up for missing local ones.
    std::size_t maxEngines = 24;
    /// Engines of each data centre whose agents get subscriptions from all entries, and count them.
    std::size_t countingPerDataCentre = 2;
};

/// The engines to which one entry sends and whose reports it receives.
///
/// In a fleet of hundreds, reports of every engine to every entry would cost more than the
/// requests, and eight slots split among all entries would be less than one each. Each entry ranks
/// the engines by a hash of both names: the sets of the entries overlap evenly, and change little
/// when engines or entries are added or removed.
class WorkingSet
{
public:
    WorkingSet(std::string entry, domain::DataCentreId dataCentre, WorkingSetOptions options = {});

    /// Rebuilds the set from the engines of one service that may get requests now. Those of
    /// withdrawn data centres get none, but their agents count entries and forward updates to them.
    void update(const std::vector<const ListedEndpoint *> &engines,
            const std::vector<const ListedEndpoint *> &withdrawn = {});

    const std::vector<domain::EndpointId> &engines() const { return m_engines; }
    bool contains(const domain::EndpointId &engine) const { return m_engineSet.count(engine) > 0; }
    /// Engines of all data centres whose agents count the entries; the same at each entry.
    const std::vector<domain::EndpointId> &countingEngines() const { return m_countingEngines; }
    /// Those of the local data centre.
    const std::vector<domain::EndpointId> &localCountingEngines() const
    {
        return m_localCountingEngines;
    }

private:
    std::string m_entry;
    domain::DataCentreId m_dataCentre;
    WorkingSetOptions m_options;
    std::vector<domain::EndpointId> m_engines;
    std::set<domain::EndpointId> m_engineSet;
    std::vector<domain::EndpointId> m_countingEngines;
    std::vector<domain::EndpointId> m_localCountingEngines;
};

} // namespace oriolerill::routing
