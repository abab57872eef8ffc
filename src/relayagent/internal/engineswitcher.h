#pragma once

#include "domain/suspensionclock.h"
#include "observability/metrics.h"
#include "relayagent/internal/engineclient.h"
#include "relayagent/internal/loadreporter.h"
#include "relayagent/internal/stagedweights.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace oriolerill::relayagent::internal {

/// Switches the engine on this VM to a version whose pieces are held: stages them, verifies them
/// and orders the engine to load them before that verification expires.
///
/// An order without an answer in time is unconfirmed: it may be accepted later. If the engine then
/// serves the version, and any piece staged since the order was corrupted or of another version,
/// its weights are suspect: it is reported as switching, so that entries send it no requests, until
/// it serves another version or restarts.
class EngineSwitcher
{
public:
    using Transfer = StagedWeights::Transfer;

    EngineSwitcher(boost::asio::io_context &context, EngineClient &engine, LoadReporter &reporter,
            observability::Metrics &metrics, domain::SuspensionClock clock);

    StagedWeights &staged() { return m_staged; }
    /// Called regularly while the engine's state is known.
    void onEngineState();
    /// Begins to stage the version unless it is staged already, and to load it if that is due. Does
    /// nothing while it is busy.
    void begin(const Transfer &transfer, bool isDue);

private:
    enum class OrderEnd {
        /// The engine accepted the order while the verification was valid.
        Accepted,
        /// The engine refused the order.
        Refused,
        /// Not sent: the verification had expired, or the engine had restarted.
        Outdated,
        /// The engine did not answer in time, or an earlier order began the load.
        Unconfirmed,
    };

    /// An order that the engine may accept later, or has accepted at an unknown time.
    struct UnconfirmedOrder
    {
        const distribution::WeightsVersion &version() const { return transfer->manifest().version; }

        Transfer transfer;
        /// At some time since the order, a staged piece was not the intact one of its version.
        bool mayLoadOtherPieces = false;
    };
    using UnconfirmedOrders = std::vector<std::shared_ptr<UnconfirmedOrder>>;

    static const char *toString(OrderEnd end);
    boost::asio::awaitable<void> stageAndLoad(Transfer transfer, bool isDue);
    boost::asio::awaitable<void> switchEngine(Transfer transfer);
    bool isValid(const VerifiedWeights &verified);
    boost::asio::awaitable<OrderEnd> order(
            const VerifiedWeights &verified, std::uint64_t expectedOrders);
    /// Waits until the engine serves the version or is idle again; whether the load was seen to
    /// have begun while the verification was valid.
    boost::asio::awaitable<bool> awaitLoad(const VerifiedWeights &verified, OrderEnd end);
    /// Must be called before pieces of the version are staged: records whether the pieces that an
    /// unconfirmed order may load are intact. False when the engine does not answer.
    boost::asio::awaitable<bool> checkBeforeStaging(const distribution::WeightsVersion &version);
    /// Checks the pieces of a version that an unconfirmed order has loaded.
    boost::asio::awaitable<void> checkLoaded(std::shared_ptr<UnconfirmedOrder> order);
    void addUnconfirmed(const Transfer &transfer);
    /// The order whose version the engine serves; null for none.
    std::shared_ptr<UnconfirmedOrder> servedUnconfirmed() const;
    bool isWithheld() const { return m_suspect || servedUnconfirmed(); }
    /// Version that the engine serves; zero for none.
    std::uint64_t served(const domain::ModelId &model) const;
    boost::asio::awaitable<void> wait(domain::Duration duration);

    boost::asio::io_context &m_context;
    EngineClient &m_engine;
    LoadReporter &m_reporter;
    observability::Metrics &m_metrics;
    domain::SuspensionClock m_clock;
    StagedWeights m_staged;
    /// Pieces are being staged or an order is in progress.
    bool m_isBusy = false;
    std::uint64_t m_engineStartedAtMs = 0;
    domain::TimePoint m_nextOrderAt;
    /// One of each version.
    UnconfirmedOrders m_unconfirmed;
    /// Served version that may have been loaded from corrupted pieces.
    std::optional<distribution::WeightsVersion> m_suspect;
};

} // namespace oriolerill::relayagent::internal
