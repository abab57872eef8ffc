#include "topology.h"

#include <sstream>
#include <stdexcept>

namespace oriolerill::standins {

void Topology::load(const std::string &text)
{
    std::istringstream stream(text);
    int number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        try {
            loadLine(line);
        } catch (const std::exception &error) {
            throw std::runtime_error("line " + std::to_string(number) + ": " + error.what());
        }
    }
}

void Topology::loadLine(const std::string &line)
{
    std::istringstream words(line);
    words.exceptions(std::ios::failbit);
    std::string kind;
    if (line.empty() || line.front() == '#')
        return;
    words >> kind;
    if (kind == "vm") {
        std::string host;
        Vm vm;
        std::uint64_t up = 0;
        std::uint64_t down = 0;
        words >> host >> vm.dataCentre >> vm.region >> up >> down;
        m_vms[host] = vm;
        addLink("up:" + host, up);
        addLink("down:" + host, down);
    } else if (kind == "wan") {
        std::string a;
        std::string b;
        std::uint64_t rate = 0;
        std::int64_t delay = 0;
        words >> a >> b >> rate >> delay;
        for (const std::string &name : {wanName(a, b), wanName(b, a)}) {
            addLink(name, rate);
            m_wanDelays[name] = std::chrono::microseconds(delay);
        }
    } else if (kind == "delay") {
        std::int64_t delay = 0;
        words >> delay;
        m_dataCentreDelay = std::chrono::microseconds(delay);
    } else if (kind == "listen") {
        std::string address;
        std::string target;
        words >> address >> target;
        const auto from = domain::SocketAddress::parse(address);
        const auto to = domain::SocketAddress::parse(target);
        if (!from || !to)
            throw std::runtime_error("malformed address; write <ip>:<port>");
        m_listeners.push_back(ProxyListener{*from, *to});
    } else {
        throw std::runtime_error("unknown item " + kind + "; use vm, wan, delay or listen");
    }
}

void Topology::addLink(const std::string &name, std::uint64_t bytesPerSecond)
{
    m_links[name] = std::make_unique<ShapedLink>(m_events, name, bytesPerSecond);
}

NetworkPath Topology::path(const std::string &from, const std::string &to)
{
    NetworkPath path;
    const auto source = m_vms.find(from);
    const auto target = m_vms.find(to);
    if (from == to)
        return path;
    if (source != m_vms.end())
        path.links.push_back(link("up:" + from));
    if (source != m_vms.end() && target != m_vms.end()) {
        const std::string wan = wanName(source->second.region, target->second.region);
        if (ShapedLink *shared = link(wan)) {
            path.links.push_back(shared);
            path.delay = m_wanDelays[wan];
        } else if (source->second.dataCentre != target->second.dataCentre) {
            path.delay = m_dataCentreDelay;
        }
    }
    if (target != m_vms.end())
        path.links.push_back(link("down:" + to));
    return path;
}

bool Topology::matches(const std::string &selector, const std::string &host) const
{
    if (selector == "*" || selector == host)
        return true;
    const auto vm = m_vms.find(host);
    return vm != m_vms.end()
            && (vm->second.dataCentre == selector || vm->second.region == selector);
}

ShapedLink *Topology::link(const std::string &name)
{
    const auto it = m_links.find(name);
    return it == m_links.end() ? nullptr : it->second.get();
}

std::vector<ShapedLink *> Topology::links()
{
    std::vector<ShapedLink *> all;
    for (const auto &[name, link] : m_links)
        all.push_back(link.get());
    return all;
}

} // namespace oriolerill::standins
