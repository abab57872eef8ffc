#include "soakfleet.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace po = boost::program_options;
using namespace oriolerill::standins;

namespace {

int soak(const SoakOptions &options)
{
    boost::asio::io_context context(1);
    SoakFleet fleet(context, options);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    fleet.start();
    context.run_for(options.time);
    return fleet.finish() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    SoakOptions options;
    int seconds = 0;
    po::options_description description("standin-soak");
    auto add = description.add_options();
    add("help", "print the options");
    add("seed", po::value(&options.seed)->default_value(options.seed),
            "seed of the random choices");
    add("seconds", po::value(&seconds)->default_value(15), "duration of the run");
    add("entries", po::value(&options.entries)->default_value(options.entries), "entries");
    add("engines", po::value(&options.engines)->default_value(options.engines),
            "engines, each with an agent");
    add("clients", po::value(&options.clients)->default_value(options.clients), "clients");
    add("net", po::value(&options.net)->default_value(options.net),
            "second octet of the loopback addresses");
    add("faults", po::value(&options.faults)->default_value(options.faults),
            "fault series: seed (a random subset), all, none, or names separated by commas");
    add("programs", po::value(&options.programs)->required(),
            "directory of the programs under test");
    add("repository", po::value(&options.repository)->required(),
            "root of the repository, with platform/");
    add("output", po::value(&options.output)->required(), "directory for settings and logs");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        options.time = std::chrono::seconds(seconds);
        return soak(options);
    } catch (const std::exception &error) {
        std::cerr << "standin-soak: " << error.what() << "; see --help\n";
        return 2;
    }
}
