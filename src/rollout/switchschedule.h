#pragma once

#include "distribution/weightsversion.h"
#include "domain/timepoint.h"

#include <string>
#include <vector>

namespace oriolerill::rollout {

struct SwitchScheduleOptions
{
    /// The engines of a data centre switch in this number of groups, one after the other, so that
    /// at most about a third of them refuse new requests at a time.
    std::uint32_t groupCount = 3;
    /// The first group switches when this share of the bound has passed since the naming; about the
    /// time that the transfer of the pieces needs.
    double firstShare = 0.36;
    /// The last group switches at this share, about when entries stop sending requests to engines
    /// with older versions. An engine needs about 2 s, a quarter of the bound, to complete its
    /// running requests, so one group serves again when the next one begins.
    double lastShare = 0.78;
    /// With a longer bound, the last group switches this long before it: entries stop sending
    /// requests 1700 ms before the bound, however long it is.
    domain::Duration lastLead = std::chrono::milliseconds(1760);
    domain::Duration bound = std::chrono::milliseconds(8000);
};

/// Computes when this VM's engine switches to a version; every VM derives the same schedule from
/// the list of members.
///
/// Load pattern: new weights are named while the load needs the full capacity.
class SwitchSchedule
{
public:
    explicit SwitchSchedule(SwitchScheduleOptions options = {});

    /// members lists the VMs of this data centre, including this one.
    domain::TimePoint switchAt(const distribution::WeightsVersion &version, const std::string &self,
            const std::vector<std::string> &members, domain::TimePoint namedAt) const;

    /// When the last group switches and entries stop sending requests to older versions.
    domain::TimePoint lastSwitchAt(domain::TimePoint namedAt) const;
    /// Version bound: no request may begin on an older version after this time.
    domain::TimePoint boundAt(domain::TimePoint namedAt) const { return namedAt + m_options.bound; }

private:
    domain::Duration lastSwitch() const;

    SwitchScheduleOptions m_options;
};

} // namespace oriolerill::rollout
