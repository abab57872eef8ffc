#include "config/configsnapshot.h"

#include <algorithm>

namespace oriolerill::config {

const Rollout *ConfigSnapshot::activeRollout(
        const domain::ServiceId &service, const domain::DataCentreId &dataCentre) const
{
    const Rollout *newest = nullptr;
    for (const auto &[id, rollout] : rollouts) {
        if (rollout.service != service)
            continue;
        if (!rollout.dataCentres.empty() && !rollout.dataCentres.contains(dataCentre))
            continue;
        if (newest == nullptr || newest->version < rollout.version)
            newest = &rollout;
    }
    return newest;
}

bool ConfigSnapshot::isWithdrawn(const domain::DataCentreId &dataCentre) const
{
    return withdrawals.contains(dataCentre);
}

const Account *ConfigSnapshot::accountByToken(const domain::Digest &tokenDigest) const
{
    const auto found = std::find_if(accounts.begin(), accounts.end(),
            [&](const auto &entry) { return entry.second.tokenDigest == tokenDigest; });
    return found == accounts.end() ? nullptr : &found->second;
}

} // namespace oriolerill::config
