#pragma once

#include "admin/adminapi.h"
#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>

namespace oriolerill::entry {

/// Serves the administration API on its own listener.
class AdminServer
{
public:
    AdminServer(boost::asio::any_io_executor executor, admin::AdminContext context,
            admin::AdminOptions options);

    /// Unavailable when the address cannot be bound.
    domain::Expected<domain::SocketAddress> start(const domain::SocketAddress &address);
    /// Makes /healthz answer 503; everything else goes on.
    void markLeaving();
    /// Stops accepting; requests in progress go on.
    void stopAccepting();

private:
    admin::AdminApi m_api;
    transport::HttpServer m_server;
};

} // namespace oriolerill::entry
