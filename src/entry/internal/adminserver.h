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
/// The parts named in the context have to live until the executor has stopped.
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
    /// Shared with the handler, which a connection may call while the server is being destroyed.
    std::shared_ptr<admin::AdminApi> m_api;
    transport::HttpServer m_server;
};

} // namespace oriolerill::entry
