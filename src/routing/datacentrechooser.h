#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace oriolerill::routing {

/// Capacity of one data centre for a service.
struct DataCentreCandidate
{
    domain::DataCentreId id;
    bool isWithdrawn = false;
    /// False when its summary is too old to rely on.
    bool isFresh = true;
    std::uint32_t serving = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;

    bool isUsable() const { return !isWithdrawn && isFresh && serving > 0; }
    std::uint32_t freeCapacity() const { return limit > inFlight ? limit - inFlight : 0; }
};

struct DataCentreChooserOptions
{
    /// Time over which the load of a returned data centre is ramped up to its full share.
    domain::Duration rampTime = std::chrono::seconds(10);
};

/// Chooses the data centre for a request: the local one unless it is withdrawn, empty or
/// overloaded, else another one by free capacity. Load is ramped up after a return. Not safe for
/// concurrent use.
class DataCentreChooser
{
public:
    DataCentreChooser(domain::DataCentreId own, DataCentreChooserOptions options);

    /// None when no data centre is usable.
    std::optional<domain::DataCentreId> choose(const std::vector<DataCentreCandidate> &candidates,
            domain::TimePoint now, std::mt19937_64 &random);

private:
    /// Records when data centres return; one that is in use when first seen has no ramp.
    void observe(const std::vector<DataCentreCandidate> &candidates, domain::TimePoint now);
    /// Share of its load that the data centre takes now, from 0 to 1.
    double rampOf(const domain::DataCentreId &id, domain::TimePoint now) const;

    struct History
    {
        bool isWithdrawn = false;
        std::optional<domain::TimePoint> returnedAt;
    };

    domain::DataCentreId m_own;
    DataCentreChooserOptions m_options;
    std::map<domain::DataCentreId, History> m_history;
};

} // namespace oriolerill::routing
