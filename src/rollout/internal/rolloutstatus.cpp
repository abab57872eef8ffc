#include "rollout/rolloutstatus.h"

#include <algorithm>

namespace oriolerill::rollout {

using config::Rollout;
using membership::MembershipSnapshot;

namespace {

DataCentreProgress progressFromSummary(
        const Rollout &rollout, const membership::DataCentreSummary &summary)
{
    DataCentreProgress progress;
    progress.isFresh = summary.isFresh;
    const auto service = summary.services.find(rollout.service);
    if (service == summary.services.end())
        return progress;
    progress.serving = service->second.serving;
    const auto &digests = service->second.activeDigests;
    progress.hasWantedVersion = digests.contains(rollout.manifest);
    progress.hasOtherVersion = digests.size() > (progress.hasWantedVersion ? 1U : 0U);
    return progress;
}

void countOwnDataCentre(
        const Rollout &rollout, const MembershipSnapshot &members, DataCentreProgress &progress)
{
    for (const membership::EndpointRecord &endpoint : members.endpoints) {
        if (endpoint.service != rollout.service)
            continue;
        if (endpoint.state == protocol::ENDPOINT_STATE_SWITCHING)
            ++progress.switching;
        if (endpoint.isServing() && endpoint.activeDigest == rollout.manifest)
            ++progress.updated;
    }
}

bool appliesTo(const Rollout &rollout, const domain::DataCentreId &dataCentre)
{
    return rollout.dataCentres.empty() || rollout.dataCentres.contains(dataCentre);
}

} // namespace

std::string toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Superseded:
        return "superseded";
    case RolloutState::Running:
        return "running";
    case RolloutState::Done:
        return "done";
    }
    return "running";
}

RolloutStatus rolloutStatus(const Rollout &rollout, const config::ConfigSnapshot &config,
        const MembershipSnapshot &members)
{
    RolloutStatus status;
    status.id = rollout.id;
    bool isActive = members.summaries.empty();
    bool isDone = !members.summaries.empty();
    for (const auto &[id, summary] : members.summaries) {
        if (!appliesTo(rollout, id))
            continue;
        const Rollout *const active = config.activeRollout(rollout.service, id);
        if (active == nullptr || active->id != rollout.id)
            continue;
        isActive = true;
        DataCentreProgress &progress = status.dataCentres[id];
        progress = progressFromSummary(rollout, summary);
        if (id == members.ownDataCentre)
            countOwnDataCentre(rollout, members, progress);
        // A data centre without endpoints of the service counts as done.
        const bool hasEndpoints = summary.services.contains(rollout.service);
        const bool isSwitching = progress.switching > 0;
        isDone = isDone && ((progress.isDone() && !isSwitching) || !hasEndpoints);
    }
    if (!isActive)
        status.state = RolloutState::Superseded;
    else
        status.state = isDone ? RolloutState::Done : RolloutState::Running;
    return status;
}

} // namespace oriolerill::rollout
