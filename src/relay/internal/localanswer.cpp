#include "relay/internal/localanswer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr auto WriteTime = std::chrono::seconds(5);

std::string secondsText(domain::Duration duration)
{
    // Rounded up: a caller that returned before the stated time would be refused again.
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(duration);
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(rounded).count());
    return text;
}

} // namespace

asio::awaitable<bool> sendLocalAnswer(
        boost::beast::tcp_stream &caller, LocalAnswer answer, bool isKeptAlive)
{
    constexpr unsigned Http11 = 11;
    http::response<http::string_body> message(http::int_to_status(answer.status), Http11);
    message.set(http::field::content_type, "application/json");
    if (answer.retryAfter)
        message.set(http::field::retry_after, secondsText(*answer.retryAfter));
    const json::object error = {{"kind", domain::toString(answer.error.kind)},
            {"message", answer.error.message}, {"remedy", answer.error.remedy}};
    message.body() = json::serialize(json::object{{"error", error}});
    message.keep_alive(isKeptAlive);
    message.prepare_payload();
    caller.expires_after(WriteTime);
    auto [code, size]
            = co_await http::async_write(caller, message, asio::as_tuple(asio::use_awaitable));
    co_return !code;
}

} // namespace oriolerill::relay::internal
