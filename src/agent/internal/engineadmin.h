#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "rollout/engineswitch.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace oriolerill::agent {

/// Client of a model engine's administration interface.
class EngineAdmin
{
public:
    /// Load orders contain the source address from which the engine fetches the weights. An empty
    /// token sends no Authorization field.
    EngineAdmin(transport::HttpClient &client, domain::SocketAddress engine,
            domain::SocketAddress source, std::string token);

    boost::asio::awaitable<domain::Expected<rollout::EngineReading>> read(
            domain::TimePoint deadline);
    boost::asio::awaitable<rollout::OrderResult> load(
            rollout::OrderLoad order, domain::TimePoint deadline);

private:
    transport::HttpRequest request(const std::string &method, const std::string &target) const;

    transport::HttpClient &m_client;
    domain::SocketAddress m_engine;
    domain::SocketAddress m_source;
    std::string m_token;
};

} // namespace oriolerill::agent
