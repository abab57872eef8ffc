#include "entry/internal/adminserver.h"

#include <utility>

namespace oriolerill::entry {

namespace asio = boost::asio;

namespace {

// Operators and monitoring need few connections; more would use file descriptors that callers need.
constexpr std::size_t MaxConnections = 128;

transport::HttpServerOptions serverOptions()
{
    transport::HttpServerOptions options;
    options.maxConnections = MaxConnections;
    return options;
}

} // namespace

AdminServer::AdminServer(
        asio::any_io_executor executor, admin::AdminContext context, admin::AdminOptions options)
    : m_api(std::make_shared<admin::AdminApi>(context, std::move(options)))
    , m_server(std::move(executor), serverOptions())
{}

domain::Expected<domain::SocketAddress> AdminServer::start(const domain::SocketAddress &address)
{
    return m_server.start(address,
            [api = m_api](transport::HttpServerExchange &exchange) -> asio::awaitable<void> {
                transport::HttpRequest request = std::move(exchange.request());
                transport::HttpResponse response = co_await api->handle(std::move(request));
                co_await exchange.respond(std::move(response));
            });
}

void AdminServer::markLeaving()
{
    m_api->markLeaving();
}

void AdminServer::stopAccepting()
{
    m_server.stopAccepting();
}

} // namespace oriolerill::entry
