#pragma once

#include "domain/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace oriolerill::transport {

/// Sends a head on each connection and then the same byte until the client closes it. Uses one
/// thread per connection.
class EndlessPeer
{
public:
    explicit EndlessPeer(std::string head, const domain::SocketAddress &address = {"127.0.0.1", 0})
        : m_head(std::move(head))
        , m_acceptor(m_context, {boost::asio::ip::make_address(address.host), address.port})
        , m_acceptThread([this] { acceptAll(); })
    {}

    ~EndlessPeer()
    {
        m_isStopping = true;
        boost::asio::ip::tcp::socket wake(m_context);
        boost::system::error_code code;
        wake.connect(m_acceptor.local_endpoint(), code);
        m_acceptThread.join();
        for (std::thread &thread : m_threads)
            thread.join();
    }
    EndlessPeer(const EndlessPeer &) = delete;
    EndlessPeer &operator=(const EndlessPeer &) = delete;

    domain::SocketAddress address() const
    {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }
    std::size_t writtenBytes() const { return m_writtenBytes; }
    std::size_t acceptedConnections() const { return m_acceptedConnections; }
    /// Connections that are being written to.
    std::size_t openConnections() const { return m_openConnections; }

private:
    void acceptAll()
    {
        for (;;) {
            boost::asio::ip::tcp::socket socket(m_context);
            boost::system::error_code code;
            m_acceptor.accept(socket, code);
            if (m_isStopping || code)
                return;
            ++m_acceptedConnections;
            ++m_openConnections;
            m_threads.emplace_back([this, socket = std::move(socket)]() mutable { write(socket); });
        }
    }

    void write(boost::asio::ip::tcp::socket &socket)
    {
        boost::system::error_code code;
        boost::asio::write(socket, boost::asio::buffer(m_head), code);
        const std::string block(16U << 10U, 'x');
        while (!code && !m_isStopping)
            m_writtenBytes += boost::asio::write(socket, boost::asio::buffer(block), code);
        --m_openConnections;
    }

    std::string m_head;
    std::atomic<std::size_t> m_writtenBytes = 0;
    std::atomic<std::size_t> m_acceptedConnections = 0;
    std::atomic<std::size_t> m_openConnections = 0;
    std::atomic<bool> m_isStopping = false;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace oriolerill::transport
