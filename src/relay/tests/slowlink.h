#pragma once

#include "domain/socketaddress.h"
#include "domain/timepoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace oriolerill::relay {

/// TCP proxy that simulates a congested link to an endpoint: bytes and connection ends arrive a
/// delay after they were sent, even if the sender has closed in the meantime. The reverse direction
/// has no delay.
class SlowLink
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit SlowLink(domain::SocketAddress to)
        : m_to(std::move(to))
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~SlowLink()
    {
        m_context.stop();
        m_thread.join();
    }

    domain::SocketAddress address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// Applies to bytes sent from now on.
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }

private:
    using SocketPtr = std::shared_ptr<Socket>;

    boost::asio::awaitable<void> acceptAll()
    {
        for (;;) {
            const auto near = std::make_shared<Socket>(m_context);
            co_await m_acceptor.async_accept(*near, boost::asio::use_awaitable);
            const auto far = std::make_shared<Socket>(m_context);
            far->connect({boost::asio::ip::make_address(m_to.host), m_to.port});
            boost::asio::co_spawn(m_context, forward(near, far, true), boost::asio::detached);
            boost::asio::co_spawn(m_context, forward(far, near, false), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> forward(SocketPtr from, SocketPtr to, bool isDelayed)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code code;
        while (!code) {
            const std::size_t size = co_await from->async_read_some(boost::asio::buffer(bytes),
                    boost::asio::redirect_error(boost::asio::use_awaitable, code));
            const auto delay = isDelayed ? m_delay.load() : std::chrono::milliseconds(0);
            const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
            timer->async_wait(
                    [timer, to, isEnd = bool(code), text = std::string(bytes.data(), size)](
                            boost::system::error_code) {
                        boost::system::error_code ignored;
                        if (isEnd)
                            to->close(ignored);
                        else
                            boost::asio::write(*to, boost::asio::buffer(text), ignored);
                    });
        }
    }

    domain::SocketAddress m_to;
    std::atomic<std::chrono::milliseconds> m_delay{std::chrono::milliseconds(0)};
    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace oriolerill::relay
