#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "relayagent/internal/enginelink.h"
#include "rollout/enginestate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <optional>

namespace oriolerill::relayagent::internal {

/// Reads the state of the engine on this VM a few times a second and sends it to the entries that
/// have subscribed.
class LoadReporter
{
public:
    LoadReporter(boost::asio::io_context &context, EngineLink &engine,
            domain::DataCentreId dataCentre, const domain::SocketAddress &listen);

    domain::Expected<domain::Done> open();
    boost::asio::awaitable<void> receiveSubscriptions();
    boost::asio::awaitable<void> report();

    /// The newest state; none while the engine does not answer.
    const std::optional<rollout::EngineState> &state() const { return m_state; }
    /// Tells entries, now and with each further report, whether the engine is about to switch.
    void setSwitching(bool isSwitching);
    /// Model whose version is reported.
    void setModel(const domain::ModelId &model) { m_model = model; }

private:
    struct Subscriber
    {
        bool isLocal = false;
        domain::TimePoint seenAt;
    };

    void send(bool isToAll);

    boost::asio::io_context &m_context;
    EngineLink &m_engine;
    domain::DataCentreId m_dataCentre;
    domain::SocketAddress m_listen;
    boost::asio::ip::udp::socket m_socket;
    std::map<boost::asio::ip::udp::endpoint, Subscriber> m_subscribers;
    std::optional<rollout::EngineState> m_state;
    domain::ModelId m_model;
    bool m_isSwitching = false;
    std::uint64_t m_sequence = 0;
};

} // namespace oriolerill::relayagent::internal
