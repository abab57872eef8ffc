#pragma once

#include "distribution/weightsversion.h"
#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "rollout/enginestate.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <set>

namespace oriolerill::relayagent::internal {

/// Client of the engine on this VM.
class EngineClient
{
public:
    EngineClient(boost::asio::any_io_executor executor, domain::SocketAddress address);

    const domain::SocketAddress &address() const { return m_address; }
    boost::asio::awaitable<domain::Expected<rollout::EngineState>> readState();
    boost::asio::awaitable<domain::Expected<std::set<std::uint32_t>>> listStaged(
            domain::ModelId model);
    boost::asio::awaitable<domain::Expected<std::string>> readStaged(
            const domain::ModelId &model, std::uint32_t piece);
    boost::asio::awaitable<domain::Expected<domain::Done>> stage(
            domain::ModelId model, std::uint32_t piece, std::string bytes);
    enum class OrderAnswer {
        /// The order began a load.
        Begun,
        /// An earlier order has loaded this version, or is loading it.
        AlreadyInEffect,
    };
    /// Orders the engine to load the staged pieces; Conflict while its state does not allow that,
    /// or when it has accepted another number of orders than expected. No order is sent after the
    /// deadline; one without an answer may still be accepted, until the engine accepts another one.
    boost::asio::awaitable<domain::Expected<OrderAnswer>> orderLoad(
            distribution::WeightsVersion version, std::uint64_t expectedOrders,
            domain::TimePoint deadline);

private:
    boost::asio::awaitable<domain::Expected<transport::HttpResponse>> call(std::string method,
            std::string target, std::string body,
            domain::TimePoint deadline = domain::TimePoint::max());

    domain::SocketAddress m_address;
    transport::HttpClient m_client;
};

} // namespace oriolerill::relayagent::internal
