#include "transport/requestbody.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace oriolerill::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

asio::awaitable<beast::error_code> readRequestBody(beast::tcp_stream &stream,
        beast::flat_buffer &buffer, RequestParser &parser, domain::ByteShare &share)
{
    constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
    const auto length = parser.content_length();
    if (length && !share.tryResize(domain::Bytes(*length)))
        co_return asio::error::no_buffer_space;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(Continue), UseTuple);
    }
    parser.eager(true);
    beast::error_code code;
    while (!code && !parser.is_done()) {
        auto [readCode, size] = co_await http::async_read_some(stream, buffer, parser, UseTuple);
        code = readCode;
        if (!length && !share.tryResize(domain::Bytes(parser.get().body().size())))
            co_return asio::error::no_buffer_space;
    }
    co_return code;
}

} // namespace oriolerill::transport
