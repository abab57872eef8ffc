#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "objectstore/iobjectstore.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace oriolerill::relay::internal {

/// Gives the configuration, as the store has it, to the other entries of the data centre, and takes
/// it from one of them.
///
/// Load pattern: the configuration grows by many routes and changes twice; read by each entry from
/// a store in another region it fills the link between the regions for seconds, in front of all
/// that binds sooner.
class ConfigurationExchange
{
public:
    explicit ConfigurationExchange(boost::asio::any_io_executor executor);

    /// Answers an entry that asks for the list.
    static boost::asio::awaitable<void> answer(
            transport::HttpServerExchange &exchange, const objectstore::ObjectList &list);
    boost::asio::awaitable<domain::Expected<objectstore::ObjectList>> fetch(
            domain::SocketAddress source, domain::TimePoint deadline);

private:
    transport::HttpClient m_client;
};

} // namespace oriolerill::relay::internal
