#pragma once

#include "domain/allocator.h"
#include "relay/internal/callersession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

#include <sys/socket.h>

namespace oriolerill::relay {

/// Endpoint over plain sockets whose answers come from a script, so that they can violate the
/// protocol. One thread per connection.
class ScriptedEndpoint
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Called with each request as received; writes any bytes as the answer. Returning false closes
    /// the connection. May run after the test body has returned, so captures must be owned or refer
    /// to members of the fixture.
    using Script = std::function<bool(Socket &, const std::string &request)>;

    explicit ScriptedEndpoint(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { acceptAll(); })
    {}

    ~ScriptedEndpoint()
    {
        m_isStopping = true;
        Socket wake(m_context);
        boost::system::error_code code;
        wake.connect(m_acceptor.local_endpoint(), code);
        m_thread.join();
        for (std::thread &thread : m_connections)
            thread.join();
    }

    domain::SocketAddress address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Closes all connections and refuses new ones, like a process that ends. May be called by a
    /// script.
    void crash()
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        for (const int socket : m_open)
            ::shutdown(socket, SHUT_RDWR);
    }

    std::vector<std::string> requests() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_requests;
    }

private:
    void acceptAll()
    {
        for (;;) {
            Socket socket(m_context);
            boost::system::error_code code;
            m_acceptor.accept(socket, code);
            if (m_isStopping || code)
                return;
            m_connections.emplace_back(
                    [this, socket = std::move(socket)]() mutable { serve(socket); });
        }
    }

    void serve(Socket &socket)
    {
        const int handle = socket.native_handle();
        {
            const std::scoped_lock lock(m_mutex);
            m_open.insert(handle);
        }
        serveRequests(socket);
        // Before the socket is destroyed: its number may be used again.
        const std::scoped_lock lock(m_mutex);
        m_open.erase(handle);
    }

    void serveRequests(Socket &socket)
    {
        std::string received;
        boost::system::error_code option;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), option);
        for (;;) {
            const std::size_t end = received.find("\r\n\r\n");
            if (end == std::string::npos) {
                char bytes[4096];
                boost::system::error_code code;
                const std::size_t size = socket.read_some(boost::asio::buffer(bytes), code);
                if (code)
                    return;
                received.append(bytes, size);
                continue;
            }
            const std::string request = std::exchange(received, "");
            {
                const std::scoped_lock lock(m_mutex);
                m_requests.push_back(request);
            }
            if (!m_script(socket, request))
                return;
        }
    }

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::set<int> m_open;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

inline void write(boost::asio::ip::tcp::socket &socket, const std::string &text)
{
    boost::system::error_code code;
    boost::asio::write(socket, boost::asio::buffer(text), code);
}

/// Value of a header field in a request or answer; empty if the field is absent.
inline std::string fieldOf(const std::string &message, const std::string &name)
{
    const std::size_t at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

/// Sessions of an entry on one thread, in front of scripted endpoints.
class RelayFixture : public testing::Test
{
protected:
    explicit RelayFixture(const routing::DispatcherOptions &options = {})
        : m_dispatcher(options)
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        // As at the start of an entry.
        domain::returnLargeBuffersToSystem();
    }

    /// Stops and joins the entry's thread.
    void stop()
    {
        boost::asio::post(m_context, [this] { m_context.stop(); });
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Ends all threads while the members of derived fixtures exist: scripts and handlers refer to
    /// them.
    void TearDown() override { endThreads(); }

    ~RelayFixture() override { endThreads(); }

    void endThreads()
    {
        stop();
        // A script returns once the entry closes its connection.
        m_connections.closeIdle();
        m_endpoints.clear();
    }

    ScriptedEndpoint &addEndpoint(ScriptedEndpoint::Script script)
    {
        m_endpoints.push_back(std::make_unique<ScriptedEndpoint>(std::move(script)));
        routing::ListedEndpoint listed;
        listed.id = domain::EndpointId("e" + std::to_string(m_endpoints.size()));
        listed.service = domain::ServiceId("s");
        listed.address = m_endpoints.back()->address();
        listed.slots = 4;
        m_listed.push_back(listed);
        return *m_endpoints.back();
    }

    virtual routing::Route route(const std::string &prefix, routing::RequestKind kind) const
    {
        routing::Route route;
        route.name = prefix;
        route.host = "h.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.isResumable = kind == routing::RequestKind::Stream;
        route.services = {{domain::ServiceId("s"), 1}};
        route.timeout = m_routeTimeout;
        route.maxEndpoints = kind == routing::RequestKind::NonIdempotent ? 1 : 2;
        return route;
    }

    /// The service of all routes; overridden by tests of engines.
    virtual routing::ServiceSpec service() const
    {
        routing::ServiceSpec service;
        service.id = domain::ServiceId("s");
        return service;
    }

    void start()
    {
        auto config = std::make_shared<routing::ServingConfig>(1,
                std::vector{route("/read/", routing::RequestKind::Idempotent),
                        route("/order/", routing::RequestKind::NonIdempotent),
                        route("/stream/", routing::RequestKind::Stream)},
                std::vector{service()}, m_limits);
        config->addAccount("secret", {domain::AccountId("shop"), std::nullopt, {}});
        m_dispatcher.setConfig(config);
        m_dispatcher.endpoints().replaceAll(m_listed, domain::TimePoint::clock::now());
        boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
        boost::asio::co_spawn(m_context, m_relay.withdrawOverdueAttempts(), boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    boost::asio::awaitable<void> acceptAll()
    {
        for (;;) {
            boost::asio::ip::tcp::socket socket(m_context);
            co_await m_acceptor.async_accept(socket, boost::asio::use_awaitable);
            auto session = std::make_shared<internal::CallerSession>(m_relay, std::move(socket));
            boost::asio::co_spawn(m_context, session->run(), boost::asio::detached);
        }
    }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(m_callerContext);
        socket.connect(m_acceptor.local_endpoint());
        return socket;
    }

    static std::string request(const std::string &method, const std::string &path,
            const std::string &extraFields = "", const std::string &body = "")
    {
        std::string text = method + " " + path
                + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nKey: secret\r\n";
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + extraFields + "\r\n" + body;
    }

    /// Sends a request on a new connection and returns everything received until the entry closes
    /// it. Valid requests contain `Connection: close`.
    std::string call(const std::string &text)
    {
        auto socket = connect();
        write(socket, text);
        return readAll(socket);
    }

    static std::string readAll(boost::asio::ip::tcp::socket &socket)
    {
        std::string answer;
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
        return answer;
    }

    static unsigned statusOf(const std::string &answer)
    {
        return answer.size() < 12 ? 0 : std::stoul(answer.substr(9, 3));
    }

    static std::string answer(const std::string &id, const std::string &body,
            const std::string &status = "200 OK", const std::string &extraFields = "")
    {
        return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\nServer-Signature: sig\r\n"
                + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body;
    }

    /// Sends no answer, and sets the flag when the entry closes the connection.
    static ScriptedEndpoint::Script unresponsiveScript(std::shared_ptr<std::atomic<bool>> isClosed)
    {
        return [isClosed = std::move(isClosed)](
                       boost::asio::ip::tcp::socket &socket, const std::string &) {
            char byte = 0;
            boost::system::error_code code;
            while (!code)
                socket.read_some(boost::asio::buffer(&byte, 1), code);
            *isClosed = true;
            return false;
        };
    }

    /// Waits until another thread sets the flag; false after 500 ms.
    static bool waitFor(const std::atomic<bool> &flag)
    {
        for (int i = 0; i < 100 && !flag; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return flag;
    }

    static constexpr const char *Close = "Connection: close\r\n";

    boost::asio::io_context m_context{1};
    boost::asio::io_context m_callerContext;
    routing::CallerLimits m_limits;
    domain::Duration m_routeTimeout = std::chrono::milliseconds(1500);
    routing::Dispatcher m_dispatcher;
    internal::EndpointConnections m_connections{m_context};
    observability::Metrics m_metrics;
    internal::RelayContext m_relay{m_dispatcher, m_connections, m_metrics};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
    std::vector<routing::ListedEndpoint> m_listed;
    std::thread m_thread;
};

} // namespace oriolerill::relay
