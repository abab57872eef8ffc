#include "orderservice.h"
#include "program.h"

using namespace oriolerill::standins;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Program program("standin-service");
    OrderServiceOptions options;
    program.options().add_options()("name", po::value(&options.name),
            "name of the service in answers")("capacity", po::value(&options.capacity.warm),
            "concurrent requests")("cold-capacity", po::value(&options.capacity.cold),
            "concurrent requests after a cold start")("warm-up-requests",
            po::value(&options.capacity.requestsPerStep),
            "finished requests that raise a cold capacity by one")(
            "service-us", po::value<unsigned>()->default_value(5000), "time per request");
    if (!program.parse(argc, argv))
        return 2;
    options.serviceTime = std::chrono::microseconds(program.value<unsigned>("service-us"));

    OrderService service(options);
    return program.serve([&service](oriolerill::transport::HttpServerExchange &exchange) {
        return service.handle(exchange);
    });
}
