#include "loadgenerator.h"
#include "program.h"

#include <boost/asio/co_spawn.hpp>

#include <iostream>
#include <sstream>

using namespace oriolerill;
using namespace oriolerill::standins;
namespace po = boost::program_options;

namespace {

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

void addOptions(po::options_description &description, LoadOptions &options)
{
    const auto list = [] { return po::value<std::string>()->default_value(""); };
    description.add_options()("entries", list(), "entries, separated by commas");
    description.add_options()("direct", "--entries lists endpoints; no entry is used");
    description.add_options()("direct-orders", list(), "order services of the direct mode");
    description.add_options()("audit", list(), "order services whose executions are checked");
    description.add_options()("tokens", list(), "bearer tokens of the accounts");
    description.add_options()("model-service", po::value(&options.modelService), "model service");
    description.add_options()("order-service", po::value(&options.orderService), "order service");
    description.add_options()(
            "concurrency", po::value(&options.concurrency), "concurrent requests");
    description.add_options()("rate", po::value(&options.rate), "requests per second, open loop");
    description.add_options()("requests", po::value(&options.maxRequests), "number of requests");
    description.add_options()(
            "seconds", po::value<double>()->default_value(10), "duration of the run");
    description.add_options()(
            "deadline-ms", po::value<unsigned>()->default_value(10000), "deadline of each request");
    description.add_options()("tries", po::value(&options.maxTries), "maximum tries of a request");
    description.add_options()("generations", po::value(&options.generations), "share in the mix");
    description.add_options()("lookups", po::value(&options.lookups), "share in the mix");
    description.add_options()("orders", po::value(&options.orders), "share in the mix");
    description.add_options()("max-tokens", po::value(&options.maxTokens), "tokens of an answer");
    description.add_options()(
            "repeat-share", po::value(&options.repeatShare), "share of answered orders sent again");
    description.add_options()("give-up-share", po::value(&options.giveUpShare),
            "share of refused orders not retried");
    description.add_options()("seed", po::value(&options.seed), "seed of the random choices");
    description.add_options()(
            "source-host", po::value(&options.sourceHost), "source address of connections");
}

} // namespace

int main(int argc, char **argv)
{
    Program program("standin-load");
    LoadOptions options;
    addOptions(program.options(), options);
    if (!program.parse(argc, argv))
        return 2;
    options.entries = parseAddresses(program.value<std::string>("entries"));
    options.directOrders = parseAddresses(program.value<std::string>("direct-orders"));
    options.audited = parseAddresses(program.value<std::string>("audit"));
    options.tokens = splitList(program.value<std::string>("tokens"));
    options.isDirect = program.has("direct");
    options.maxTime = std::chrono::duration_cast<domain::Duration>(
            std::chrono::duration<double>(program.value<double>("seconds")));
    options.deadline = std::chrono::milliseconds(program.value<unsigned>("deadline-ms"));
    if (options.entries.empty()) {
        std::cerr << "standin-load: --entries is empty; write <ip>:<port>,...\n";
        return 2;
    }

    LoadGenerator generator(program.context().get_executor(), options);
    const auto handler = [&generator](transport::HttpServerExchange &exchange) {
        return generator.handle(exchange);
    };
    if (!program.listen(handler))
        return 1;
    boost::asio::co_spawn(program.context(), generator.run(),
            [&program](const std::exception_ptr &) { program.context().stop(); });
    program.context().run();
    std::cout << generator.report().line() << std::endl;
    return generator.isClean() ? 0 : 1;
}
