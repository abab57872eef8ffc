#include "platform.h"
#include "program.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace oriolerill::standins;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Program program("standin-platform");
    program.options().add_options()("objects", po::value<std::string>(),
            "JSON file with the initial objects and VM list")("reads-per-second",
            po::value<double>()->default_value(2000),
            "maximum reads per second")("writes-per-second",
            po::value<double>()->default_value(400), "maximum writes per second");
    if (!program.parse(argc, argv))
        return 2;

    PlatformOptions options;
    options.readsPerSecond = program.value<double>("reads-per-second");
    options.writesPerSecond = program.value<double>("writes-per-second");
    Platform platform(options);
    if (program.has("objects")) {
        try {
            const std::ifstream file(program.value<std::string>("objects"));
            std::stringstream text;
            text << file.rdbuf();
            platform.loadObjects(text.str());
        } catch (const std::exception &error) {
            std::cerr << "standin-platform: cannot load --objects: " << error.what() << '\n';
            return 2;
        }
    }
    return program.serve([&platform](oriolerill::transport::HttpServerExchange &exchange) {
        return platform.handle(exchange);
    });
}
