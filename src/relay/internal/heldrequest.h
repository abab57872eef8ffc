#pragma once

#include "domain/bytebudget.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace oriolerill::relay::internal {

/// A caller's request with its share of the memory for bodies. Shared by the run of the request and
/// the writes to endpoints, which may end after it.
struct HeldRequest
{
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    explicit HeldRequest(std::shared_ptr<domain::ByteBudget> budget)
        : share(std::move(budget))
    {}

    Message message;
    domain::ByteShare share;
};

} // namespace oriolerill::relay::internal
