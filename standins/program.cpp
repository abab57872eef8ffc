#include "program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options/parsers.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace po = boost::program_options;
using namespace std::chrono_literals;

Program::Program(std::string name)
    : m_name(std::move(name))
    , m_options(m_name)
{
    m_options.add_options()("help", "print the options");
    m_options.add_options()(
            "listen", po::value<std::string>()->default_value("127.0.0.1:0"), "listen address");
}

bool Program::parse(int argc, char **argv)
{
    try {
        po::store(po::parse_command_line(argc, argv, m_options), m_values);
        po::notify(m_values);
    } catch (const std::exception &error) {
        std::cerr << m_name << ": " << error.what() << "; see --help\n";
        return false;
    }
    if (has("help"))
        std::cout << m_options;
    return !has("help");
}

bool Program::listen(transport::HttpServer::Handler handler)
{
    const auto address = domain::SocketAddress::parse(value<std::string>("listen"));
    if (!address) {
        std::cerr << m_name << ": --listen is not an address; write <ip>:<port>\n";
        return false;
    }
    transport::HttpServerOptions options;
    options.maxBody = domain::Bytes(16U << 20U);
    m_server = std::make_unique<transport::HttpServer>(m_context.get_executor(), options);
    const auto bound = m_server->start(*address, std::move(handler));
    if (!bound) {
        std::cerr << m_name << ": " << bound.error() << '\n';
        return false;
    }
    std::cout << "ready=1 name=" << m_name << " listen=" << *bound << std::endl;
    return true;
}

int Program::serve(transport::HttpServer::Handler handler)
{
    if (!listen(std::move(handler)))
        return 1;
    stopOnSignal();
    m_context.run();
    return 0;
}

void Program::stopOnSignal()
{
    const auto signals = std::make_shared<asio::signal_set>(m_context, SIGTERM, SIGINT);
    signals->async_wait([this, signals](boost::system::error_code, int) {
        m_server->stopAccepting();
        const auto finish = [](Program *program) -> asio::awaitable<void> {
            constexpr auto MaxDrainTime = 5s;
            const auto end = domain::TimePoint::clock::now() + MaxDrainTime;
            while (program->m_server->activeExchanges() > 0
                    && domain::TimePoint::clock::now() < end)
                co_await sleepFor(10ms);
            program->m_context.stop();
        };
        asio::co_spawn(m_context, finish(this), asio::detached);
    });
}

asio::awaitable<void> sleepFor(domain::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> sleepUntil(domain::TimePoint time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace oriolerill::standins
