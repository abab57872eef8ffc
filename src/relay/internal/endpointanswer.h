#pragma once

#include "domain/strongid.h"

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::relay::internal {

/// The answer of one endpoint, as it goes to the caller. It is replaced as a whole: a head, a body
/// and weights of different endpoints would make an answer that no endpoint gave.
struct EndpointAnswer
{
    domain::EndpointId endpoint;
    /// Version of the weights that made the answer; none if the endpoint states none.
    std::optional<std::uint64_t> weights;
    boost::beast::http::response_header<> head;
    /// The complete body; empty for a stream, whose events go to the caller as they arrive.
    std::string body;
};

} // namespace oriolerill::relay::internal
