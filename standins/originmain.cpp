#include "origin.h"
#include "program.h"

#include <iostream>

using namespace oriolerill::standins;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Program program("standin-origin");
    WeightsOptions weights;
    program.options().add_options()("model", po::value(&weights.model), "name of the model")(
            "version", po::value(&weights.version), "version of the model")("size",
            po::value(&weights.size), "size of the weights in bytes; 0 publishes nothing")("chunk",
            po::value(&weights.chunkSize),
            "chunk size in bytes")("seed", po::value(&weights.seed), "seed of the weights")("rate",
            po::value<std::uint64_t>()->default_value(0), "bytes per second; 0 for no limit");
    if (!program.parse(argc, argv))
        return 2;

    Origin origin(program.value<std::uint64_t>("rate"));
    if (weights.size > 0)
        std::cout << "manifest=" << origin.publish(weights) << std::endl;
    return program.serve([&origin](oriolerill::transport::HttpServerExchange &exchange) {
        return origin.handle(exchange);
    });
}
