#include "engine.h"
#include "program.h"

using namespace oriolerill::standins;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Program program("standin-engine");
    EngineOptions options;
    program.options().add_options()("capacity", po::value(&options.capacity.warm),
            "concurrent streams when warm")("cold-capacity", po::value(&options.capacity.cold),
            "concurrent streams after a cold start")("warm-up-requests",
            po::value(&options.capacity.requestsPerStep),
            "finished requests that raise a cold capacity by one")(
            "token-us", po::value<unsigned>()->default_value(5000), "time per token")("prefill-us",
            po::value<unsigned>()->default_value(10000), "time before the first token")(
            "load-ms", po::value<unsigned>()->default_value(100), "minimum time of a load")(
            "cache-entries", po::value(&options.cacheEntries), "prompt prefixes in the cache")(
            "ignore-fence", "accept orders with an old fencing number")(
            "admin-token", po::value(&options.adminToken), "token required on /admin")("manifest",
            po::value(&options.manifest), "manifest digest that is loaded at the start")(
            "source-host", po::value(&options.sourceHost), "source address of connections");
    if (!program.parse(argc, argv))
        return 2;
    options.tokenTime = std::chrono::microseconds(program.value<unsigned>("token-us"));
    options.prefillTime = std::chrono::microseconds(program.value<unsigned>("prefill-us"));
    options.loadTime = std::chrono::milliseconds(program.value<unsigned>("load-ms"));
    options.checksFence = !program.has("ignore-fence");

    Engine engine(program.context().get_executor(), options);
    return program.serve([&engine](oriolerill::transport::HttpServerExchange &exchange) {
        return engine.handle(exchange);
    });
}
