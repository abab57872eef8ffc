#pragma once

#include "entry/internal/callercontext.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace oriolerill::entry {

/// Serves an attempt from an entry of another data centre: forwards it to one endpoint of this data
/// centre. The other entry decides about retries.
boost::asio::awaitable<void> forwardAttempt(
        std::shared_ptr<CallerContext> context, transport::HttpServerExchange &exchange);

} // namespace oriolerill::entry
