#pragma once

#include "distribution/versiontransfer.h"
#include "relayagent/internal/enginelink.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace oriolerill::relayagent::internal {

/// The weights that lie at the engine on this VM, which takes them unchecked. Each piece is
/// compared with its digest before it is given to peers or loaded.
class StagedWeights
{
public:
    using Transfer = std::shared_ptr<distribution::VersionTransfer>;

    explicit StagedWeights(EngineLink &engine);

    const distribution::WeightsVersion &version() const { return m_version; }
    /// What lies there is of no version that is known, for example after a restart of the engine.
    void forget() { m_version = {}; }
    /// Takes over what lies there from before a restart, as far as it is of the version.
    boost::asio::awaitable<void> takeInto(Transfer transfer);
    /// Hands over all pieces; false when the engine refuses one.
    boost::asio::awaitable<bool> stage(Transfer transfer);
    /// Reads all pieces back and hands over again those that have turned bad; false when that
    /// fails.
    boost::asio::awaitable<bool> verify(Transfer transfer);

private:
    EngineLink &m_engine;
    distribution::WeightsVersion m_version;
};

} // namespace oriolerill::relayagent::internal
