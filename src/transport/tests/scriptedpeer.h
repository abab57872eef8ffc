#pragma once

#include "domain/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace oriolerill::transport {

/// HTTP peer over plain sockets whose answers are sent by a script. Uses one thread per connection.
class ScriptedPeer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Receives the number of the request, from 1; returning false closes the connection.
    using Script = std::function<bool(Socket &, int number)>;

    explicit ScriptedPeer(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_acceptThread([this] { acceptAll(); })
    {}
    ~ScriptedPeer()
    {
        m_isStopping = true;
        Socket wake(m_context);
        boost::system::error_code code;
        wake.connect(m_acceptor.local_endpoint(), code);
        m_acceptThread.join();
        for (std::thread &thread : m_threads)
            thread.join();
    }
    ScriptedPeer(const ScriptedPeer &) = delete;
    ScriptedPeer &operator=(const ScriptedPeer &) = delete;

    domain::SocketAddress address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }
    static void write(Socket &socket, const std::string &text)
    {
        boost::system::error_code code;
        boost::asio::write(socket, boost::asio::buffer(text), code);
    }
    int acceptedConnections() const { return m_acceptedConnections; }

private:
    void acceptAll()
    {
        for (;;) {
            Socket socket(m_context);
            boost::system::error_code code;
            m_acceptor.accept(socket, code);
            if (m_isStopping || code)
                return;
            ++m_acceptedConnections;
            m_threads.emplace_back([this, socket = std::move(socket)]() mutable { serve(socket); });
        }
    }

    void serve(Socket &socket)
    {
        boost::system::error_code code;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), code);
        std::string received;
        for (;;) {
            char bytes[4096];
            const std::size_t size = socket.read_some(boost::asio::buffer(bytes), code);
            if (code)
                return;
            received.append(bytes, size);
            if (received.find("\r\n\r\n") == std::string::npos)
                continue;
            received.clear();
            if (!m_script(socket, ++m_requests))
                return;
        }
    }

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_acceptedConnections = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace oriolerill::transport
