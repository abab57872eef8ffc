#pragma once

#include "distribution/versiontransfer.h"
#include "domain/suspensionclock.h"
#include "relayagent/internal/engineclient.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace oriolerill::relayagent::internal {

/// Staged pieces that were found intact, and until when a load may rely on that: the engine loads
/// what is staged when it accepts the order, and pieces can become corrupted after their check.
struct VerifiedWeights
{
    distribution::WeightsVersion version;
    /// When the check of the first piece began. Both times are those of the suspension clock.
    domain::TimePoint checkedAt;
    domain::TimePoint expiresAt;
};

/// The weights staged at the engine on this VM, which accepts them unchecked. Each piece is
/// compared with its digest before it is served to peers or loaded.
class StagedWeights
{
public:
    using Transfer = std::shared_ptr<distribution::VersionTransfer>;

    StagedWeights(EngineClient &engine, domain::SuspensionClock &clock);

    const distribution::WeightsVersion &version() const { return m_version; }
    /// Marks the version of the staged pieces as unknown, for example after a restart of the
    /// engine.
    void invalidate() { m_version = {}; }
    /// Offers pieces staged before a restart to the transfer, which accepts those of its version.
    boost::asio::awaitable<void> offerTo(Transfer transfer);
    /// Stages all pieces; false when the engine refuses one.
    boost::asio::awaitable<bool> stage(Transfer transfer);
    /// Reads all pieces back and stages corrupted ones again; nothing when that fails.
    boost::asio::awaitable<std::optional<VerifiedWeights>> verify(Transfer transfer);
    /// Reads all pieces back and changes nothing; false when one is corrupted, nothing when the
    /// engine does not answer.
    boost::asio::awaitable<std::optional<bool>> areIntact(Transfer transfer);

private:
    EngineClient &m_engine;
    domain::SuspensionClock &m_clock;
    distribution::WeightsVersion m_version;
};

} // namespace oriolerill::relayagent::internal
