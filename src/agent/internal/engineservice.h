#pragma once

#include "config/iconfigview.h"
#include "distribution/iswitchgrants.h"
#include "distribution/iweightsprovider.h"
#include "domain/socketaddress.h"
#include "objectstore/iobjectstore.h"
#include "protocol/control.pb.h"
#include "rollout/engineswitch.h"
#include "rollout/ienginegate.h"
#include "transport/httpclient.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace oriolerill::agent {

struct EngineServiceOptions
{
    domain::EndpointId endpoint;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;
    domain::Incarnation incarnation;
    /// Address of the engine or plain service on this VM.
    domain::SocketAddress address;
    bool isEngine = true;
    std::string adminToken;
    /// Address of this agent from which the engine fetches the weights.
    domain::SocketAddress source;
    domain::Duration pollInterval = std::chrono::milliseconds(100);
    /// Poll interval during a switch of weights; shorter, since the endpoint is out of service.
    domain::Duration switchInterval = std::chrono::milliseconds(20);
    domain::Duration callTimeout = std::chrono::milliseconds(500);
    domain::Duration storeTimeout = std::chrono::seconds(1);
    rollout::EngineSwitchOptions switching;
};

/// Makes the engine load the weights set by the configuration and controls admission to it. For a
/// plain service, admission is open while the service accepts connections.
///
/// The referenced objects have to live until the executor has stopped.
class EngineService : public rollout::IEngineGate
{
public:
    EngineService(boost::asio::any_io_executor executor, transport::HttpClient &client,
            objectstore::IObjectStore &store, const config::IConfigView &config,
            distribution::IWeightsProvider &weights, distribution::ISwitchGrants &grants,
            EngineServiceOptions options);
    ~EngineService() override;
    EngineService(const EngineService &) = delete;
    EngineService &operator=(const EngineService &) = delete;

    void start();
    void stop();

    rollout::GateState state() const override;
    rollout::GateState enter() override;
    void leave() override;
    std::size_t admittedAttempts() const override;

    /// State for the heartbeats: starting, serving or switching.
    protocol::EndpointState endpointState() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
