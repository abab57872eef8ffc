#pragma once

#include "transport/httpclient.h"
#include "transport/tests/scriptedpeer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace oriolerill::transport {

/// HttpClient calls the store, other agents and endpoints. HTTP answers carry no request id, so the
/// client cannot detect an answer to another request.
class HttpClientFixture : public testing::Test
{
protected:
    /// Status and body of the answer to one request, or the error.
    std::string send(const ScriptedPeer &peer, std::string body = "")
    {
        std::string result = "none";
        const auto sendRequest = [&]() -> boost::asio::awaitable<void> {
            HttpRequest request;
            request.method = body.empty() ? "GET" : "POST";
            request.target = "/";
            request.body = std::move(body);
            const auto answer = co_await m_client.send(peer.address(), std::move(request),
                    domain::TimePoint::clock::now() + std::chrono::seconds(2));
            result = answer ? std::to_string(answer->status) + ' ' + answer->body
                            : "error: " + answer.error().message;
        };
        boost::asio::co_spawn(m_context, sendRequest(), boost::asio::detached);
        m_context.run();
        m_context.restart();
        return result;
    }

    boost::asio::io_context m_context{1};
    HttpClient m_client{m_context.get_executor(), HttpClientOptions()};
};

} // namespace oriolerill::transport
