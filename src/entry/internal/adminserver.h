#pragma once

#include "admin/adminapi.h"
#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace oriolerill::entry {

/// Serves the administration API on its own listener.
///
/// The objects referenced by the context have to live until the executor has stopped.
class AdminServer
{
public:
    AdminServer(boost::asio::any_io_executor executor, admin::AdminContext context,
            admin::AdminOptions options);

    /// Returns Unavailable when the address cannot be bound.
    domain::Expected<domain::SocketAddress> start(const domain::SocketAddress &address);
    /// Makes /healthz answer 503; all other requests are still served.
    void markLeaving();
    /// Stops accepting connections; requests in progress continue.
    void stopAccepting();

private:
    /// Shared with the handler, which a connection may call while the server is being destroyed.
    std::shared_ptr<admin::AdminApi> m_api;
    transport::HttpServer m_server;
};

} // namespace oriolerill::entry
