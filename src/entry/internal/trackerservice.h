#pragma once

#include "config/iconfigview.h"
#include "domain/quantity.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "membership/imembershipview.h"
#include "protocol/control.pb.h"
#include "transport/icontrolclient.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace oriolerill::entry {

struct TrackerServiceOptions
{
    domain::EntryId entry;
    domain::DataCentreId dataCentre;
    domain::RegionId region;
    domain::Incarnation incarnation;
    /// Region of the weight store; empty when unknown.
    domain::RegionId originRegion;
    domain::Duration grantLease = std::chrono::seconds(10);
    domain::Duration queryTimeout = std::chrono::seconds(1);
};

/// Runs the tracker role for the services for which this entry ranks first in its data centre.
///
/// Safe to use from all workers. The referenced objects have to live until the executor has
/// stopped; stop() ends the periodic queries.
class TrackerService
{
public:
    TrackerService(boost::asio::any_io_executor executor, transport::IControlClient &control,
            const membership::IMembershipView &membership, const config::IConfigView &config,
            TrackerServiceOptions options);
    ~TrackerService();
    TrackerService(const TrackerService &) = delete;
    TrackerService &operator=(const TrackerService &) = delete;

    void start();
    void stop();
    /// Answers SwarmReport and HaveRequest. When another entry is the tracker, a report is
    /// redirected to it.
    void handle(
            const protocol::ControlRequest &request, const transport::IControlServer::Reply &reply);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::entry
