#pragma once

#include "domain/timepoint.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <memory>
#include <string>

namespace oriolerill::standins {

/// Command line, event loop and HTTP listener of a stand-in. All handlers run on one thread, so
/// the state of a stand-in needs no locks.
class Program
{
public:
    explicit Program(std::string name);

    boost::program_options::options_description &options() { return m_options; }
    /// Parses the command line. Returns false after an error or --help, with a message printed.
    bool parse(int argc, char **argv);
    template<class T>
    T value(const char *option) const
    {
        return m_values[option].template as<T>();
    }
    bool has(const char *option) const { return m_values.count(option) > 0; }

    boost::asio::io_context &context() { return m_context; }

    /// Listens on --listen, prints the "ready" line, and serves until SIGTERM or SIGINT. Then waits
    /// up to 5 s for the requests in progress. Returns the exit status.
    int serve(transport::HttpServer::Handler handler);
    /// Listens and prints the "ready" line, without running the event loop; false if the address is
    /// malformed or cannot be bound.
    bool listen(transport::HttpServer::Handler handler);

private:
    void stopOnSignal();

    std::string m_name;
    boost::program_options::options_description m_options;
    boost::program_options::variables_map m_values;
    boost::asio::io_context m_context{1};
    std::unique_ptr<transport::HttpServer> m_server;
};

boost::asio::awaitable<void> sleepFor(domain::Duration duration);
boost::asio::awaitable<void> sleepUntil(domain::TimePoint time);

} // namespace oriolerill::standins
