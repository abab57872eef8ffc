#pragma once

#include "distribution/weightsversion.h"
#include "domain/timepoint.h"

#include <string>
#include <vector>

namespace oriolerill::rollout {

struct SwitchScheduleOptions
{
    /// Engines of a data centre switch in so many groups, one after the other, so that no more than
    /// about a third of them take no new work at a time.
    std::uint32_t groupCount = 3;
    /// The first group switches at this share of the bound after the version was named; about the
    /// time that the pieces need.
    double firstShare = 0.36;
    /// The last group switches at this share, about when entries stop to send to older versions.
    /// An engine takes about two seconds to end what it runs, a quarter of the bound: so one group
    /// is back when the next one begins.
    double lastShare = 0.78;
    domain::Duration bound = std::chrono::milliseconds(8000);
};

/// When this VM's engine switches to a version; computed alike by all from the list of members.
///
/// Load pattern: new weights on a day on which all places are needed.
class SwitchSchedule
{
public:
    explicit SwitchSchedule(SwitchScheduleOptions options = {});

    /// Members are the VMs of this data centre, this one among them.
    domain::TimePoint switchAt(const distribution::WeightsVersion &version, const std::string &self,
            const std::vector<std::string> &members, domain::TimePoint namedAt) const;

    /// When the last group's turn comes, and entries stop to send to older versions.
    domain::TimePoint lastTurnAt(domain::TimePoint namedAt) const;
    domain::TimePoint boundAt(domain::TimePoint namedAt) const { return namedAt + m_options.bound; }

private:
    SwitchScheduleOptions m_options;
};

} // namespace oriolerill::rollout
