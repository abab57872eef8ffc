#pragma once

#include "domain/error.h"
#include "domain/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>

namespace oriolerill::relay::internal {

/// An answer that this entry gives itself.
struct LocalAnswer
{
    unsigned status = 503;
    domain::Error error;
    std::optional<domain::Duration> retryAfter;
};

/// Writes the answer as JSON with the remedy; false when the caller has gone.
boost::asio::awaitable<bool> sendLocalAnswer(
        boost::beast::tcp_stream &caller, LocalAnswer answer, bool isKeptAlive);

} // namespace oriolerill::relay::internal
