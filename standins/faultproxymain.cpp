#include "faultproxy.h"
#include "program.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace oriolerill::standins;
namespace po = boost::program_options;

int main(int argc, char **argv)
{
    Program program("standin-faultproxy");
    program.options().add_options()(
            "config", po::value<std::string>()->required(), "file with VMs, links and listeners");
    if (!program.parse(argc, argv))
        return 2;

    FaultProxy proxy(program.context());
    try {
        const std::ifstream file(program.value<std::string>("config"));
        std::stringstream text;
        text << file.rdbuf();
        proxy.start(text.str());
    } catch (const std::exception &error) {
        std::cerr << "standin-faultproxy: --config: " << error.what() << '\n';
        return 2;
    }
    return program.serve([&proxy](oriolerill::transport::HttpServerExchange &exchange) {
        return proxy.handle(exchange);
    });
}
