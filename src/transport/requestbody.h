#pragma once

#include "domain/bytebudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace oriolerill::transport {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Reads the body of a request whose head has been read, within the request's share of the memory
/// for bodies. Fails with no_buffer_space when the body does not fit beside those of all other
/// requests; one whose length is stated is then not read at all.
boost::asio::awaitable<boost::beast::error_code> readRequestBody(boost::beast::tcp_stream &stream,
        boost::beast::flat_buffer &buffer, RequestParser &parser, domain::ByteShare &share);

} // namespace oriolerill::transport
