#pragma once

#include "distribution/bulkpacer.h"
#include "distribution/ichunkstore.h"
#include "distribution/iswitchgrants.h"
#include "distribution/iweightsprovider.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"
#include "observability/imetrics.h"
#include "protocol/control.pb.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/icontrolclient.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::agent {

struct WeightsServiceOptions
{
    domain::EndpointId endpoint;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;
    domain::Incarnation incarnation;
    /// Addresses at which other processes reach this agent.
    domain::SocketAddress requestAddress;
    domain::SocketAddress controlAddress;
    domain::SocketAddress origin;
    /// Memory for stored chunks; fetches in progress use up to 8 chunks more.
    domain::Bytes memory = domain::Bytes(1U << 30U);
    std::size_t maxUploads = 16;
    /// Hosts of the engine on this VM; their downloads are not limited.
    std::set<std::string> localHosts = {"127.0.0.1"};
    distribution::BulkPacerOptions pacing;
    domain::Duration reportTimeout = std::chrono::seconds(1);
};

/// Fetches versions of weights to this VM, serves their chunks to other agents and to the engine,
/// and requests switch grants from the tracker.
///
/// Safe to use from all workers. The clients have to outlive it; stop() cancels its fetches.
class WeightsService : public distribution::IWeightsProvider, public distribution::ISwitchGrants
{
public:
    WeightsService(boost::asio::any_io_executor executor, transport::IControlClient &control,
            transport::HttpClient &http, observability::IMetrics &metrics,
            WeightsServiceOptions options);
    ~WeightsService() override;
    WeightsService(const WeightsService &) = delete;
    WeightsService &operator=(const WeightsService &) = delete;

    void start();
    void stop();
    /// Sets the entries from which the tracker is selected.
    void setEntries(const std::vector<protocol::EntryInfo> &entries);

    void request(const domain::Digest &manifest, std::uint32_t priority) override;
    distribution::TransferProgress progress(const domain::Digest &manifest) const override;
    void release(const domain::Digest &manifest) override;

    void requestGrant(const domain::Digest &manifest) override;
    void withdrawRequest() override;
    std::optional<domain::TimePoint> grantedUntil() const override;

    /// Serves the paths /v1/chunks/ and /v1/manifests/.
    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);
    /// Answers HaveRequest control messages.
    void handleControl(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply);

    const distribution::IChunkStore &store() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::agent
