#pragma once

#include "distribution/versiontransfer.h"
#include "relayagent/internal/engineclient.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace oriolerill::relayagent::internal {

/// The weights staged at the engine on this VM, which accepts them unchecked. Each piece is
/// compared with its digest before it is served to peers or loaded.
class StagedWeights
{
public:
    using Transfer = std::shared_ptr<distribution::VersionTransfer>;

    explicit StagedWeights(EngineClient &engine);

    const distribution::WeightsVersion &version() const { return m_version; }
    /// Marks the version of the staged pieces as unknown, for example after a restart of the
    /// engine.
    void invalidate() { m_version = {}; }
    /// Offers pieces staged before a restart to the transfer, which accepts those of its version.
    boost::asio::awaitable<void> offerTo(Transfer transfer);
    /// Stages all pieces; false when the engine refuses one.
    boost::asio::awaitable<bool> stage(Transfer transfer);
    /// Reads all pieces back and stages corrupted ones again; false when that fails.
    boost::asio::awaitable<bool> verify(Transfer transfer);

private:
    EngineClient &m_engine;
    distribution::WeightsVersion m_version;
};

} // namespace oriolerill::relayagent::internal
