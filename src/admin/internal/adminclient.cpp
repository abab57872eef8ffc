#include "admin/adminclient.h"

#include "transport/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <utility>

namespace oriolerill::admin {

namespace asio = boost::asio;

AdminClient::AdminClient(domain::Duration timeout)
    : m_timeout(timeout)
{}

domain::Expected<transport::HttpResponse> AdminClient::send(
        const domain::SocketAddress &entry, transport::HttpRequest request)
{
    asio::io_context context;
    transport::HttpClient client(context.get_executor(), transport::HttpClientOptions());
    const domain::TimePoint deadline = domain::TimePoint::clock::now() + m_timeout;
    auto answer = asio::co_spawn(
            context, client.send(entry, std::move(request), deadline), asio::use_future);
    context.run();
    return answer.get();
}

} // namespace oriolerill::admin
