#include "baselinenode.h"
#include "program.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <sstream>

using namespace oriolerill;
using namespace oriolerill::standins;
namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

using Group = std::vector<std::string>;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, separator);) {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

struct Plan
{
    BaselineWeights weights;
    domain::SocketAddress origin;
    std::vector<Group> dataCentres;
    bool isTree = false;
    std::uint16_t port = 0;
    std::uint16_t proxyPort = 0;
};

/// In the tree, the first endpoint of each data centre fetches from the first endpoint of the first
/// data centre, which fetches from the origin; the others fetch from a parent in their own data
/// centre, in a binary tree.
domain::SocketAddress sourceOf(const Plan &plan, std::size_t dataCentre, std::size_t number)
{
    const bool isFirst = number == 0 && dataCentre == 0;
    if (!plan.isTree || isFirst)
        return plan.origin;
    const Group &group = plan.dataCentres[number == 0 ? 0 : dataCentre];
    return {group[number == 0 ? 0 : (number - 1) / 2], plan.proxyPort};
}

asio::awaitable<void> run(
        asio::io_context &context, std::vector<std::unique_ptr<BaselineNode>> &nodes)
{
    for (const auto &node : nodes)
        asio::co_spawn(context, node->fetch(), asio::detached);
    const auto isComplete = [](const auto &node) { return node->isComplete(); };
    while (!std::all_of(nodes.begin(), nodes.end(), isComplete))
        co_await sleepFor(std::chrono::milliseconds(2));
    context.stop();
}

} // namespace

int main(int argc, char **argv)
{
    Program program("standin-baseline");
    Plan plan;
    program.options().add_options()("mode", po::value<std::string>()->default_value("origin"),
            "origin: all endpoints fetch from the origin; tree: from a parent in a tree")("nodes",
            po::value<std::string>()->required(), "hosts separated by ',', data centres by '/'")(
            "origin", po::value<std::string>()->required(), "address of the origin")("manifest",
            po::value(&plan.weights.manifestDigest)->required(), "digest of the manifest")(
            "size", po::value(&plan.weights.size)->required(), "size of the weights in bytes")(
            "chunk", po::value(&plan.weights.chunkSize), "chunk size in bytes")(
            "port", po::value(&plan.port)->default_value(8090), "port that the nodes listen on")(
            "proxy-port", po::value(&plan.proxyPort)->default_value(18090),
            "port that reaches the nodes through the proxy");
    if (!program.parse(argc, argv))
        return 2;
    const auto origin = domain::SocketAddress::parse(program.value<std::string>("origin"));
    if (!origin) {
        std::cerr << "standin-baseline: --origin is not an address; write <ip>:<port>\n";
        return 2;
    }
    plan.origin = *origin;
    plan.isTree = program.value<std::string>("mode") == "tree";
    for (const std::string &group : split(program.value<std::string>("nodes"), '/'))
        plan.dataCentres.push_back(split(group, ','));

    std::vector<std::unique_ptr<BaselineNode>> nodes;
    for (std::size_t dataCentre = 0; dataCentre < plan.dataCentres.size(); ++dataCentre) {
        for (std::size_t number = 0; number < plan.dataCentres[dataCentre].size(); ++number) {
            const domain::SocketAddress listen{plan.dataCentres[dataCentre][number], plan.port};
            nodes.push_back(std::make_unique<BaselineNode>(program.context().get_executor(),
                    plan.weights, listen, sourceOf(plan, dataCentre, number)));
            if (!nodes.back()->listen()) {
                std::cerr << "standin-baseline: cannot listen on " << listen << '\n';
                return 1;
            }
        }
    }
    const auto start = domain::TimePoint::clock::now();
    asio::co_spawn(program.context(), run(program.context(), nodes), asio::detached);
    program.context().run();
    const std::chrono::duration<double> time = domain::TimePoint::clock::now() - start;
    std::cout << "mode=" << program.value<std::string>("mode") << " endpoints=" << nodes.size()
              << " seconds=" << time.count() << std::endl;
    return 0;
}
