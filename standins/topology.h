#pragma once

#include "shapedlink.h"

#include "domain/socketaddress.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oriolerill::standins {

struct ProxyListener
{
    domain::SocketAddress address;
    domain::SocketAddress target;
};

/// Links and delay between two VMs in one direction.
struct NetworkPath
{
    std::vector<ShapedLink *> links;
    domain::Duration delay = {};
};

/// VMs, links and listeners of the fault proxy, read from a file with one item per line:
///
///     vm <host> <data centre> <region> <bytes/s up> <bytes/s down>
///     wan <region> <region> <bytes/s in each direction> <delay in us>
///     delay <us between data centres of a region>
///     listen <ip:port> <target ip:port>
class Topology
{
public:
    explicit Topology(EventQueue &events)
        : m_events(events)
    {}

    /// Throws std::runtime_error with the line number if the text is malformed.
    void load(const std::string &text);

    const std::vector<ProxyListener> &listeners() const { return m_listeners; }
    NetworkPath path(const std::string &from, const std::string &to);
    /// True when the selector is "*" or the host, data centre or region of the VM.
    bool matches(const std::string &selector, const std::string &host) const;
    ShapedLink *link(const std::string &name);
    std::vector<ShapedLink *> links();

private:
    struct Vm
    {
        std::string dataCentre;
        std::string region;
    };

    void loadLine(const std::string &line);
    void addLink(const std::string &name, std::uint64_t bytesPerSecond);
    static std::string wanName(const std::string &from, const std::string &to)
    {
        return "wan:" + from + '>' + to;
    }

    EventQueue &m_events;
    std::map<std::string, Vm> m_vms;
    std::map<std::string, std::unique_ptr<ShapedLink>> m_links;
    std::map<std::string, domain::Duration> m_wanDelays;
    std::vector<ProxyListener> m_listeners;
    domain::Duration m_dataCentreDelay = {};
};

} // namespace oriolerill::standins
