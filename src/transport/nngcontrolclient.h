#pragma once

#include "transport/icontrolclient.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace oriolerill::transport {

/// Control client over nng request sockets, one per peer.
class NngControlClient : public IControlClient
{
public:
    /// Callbacks run on the executor. sourceHost is the local address of outgoing connections;
    /// empty for the system's choice.
    NngControlClient(boost::asio::any_io_executor executor, std::string sourceHost);
    ~NngControlClient() override;
    NngControlClient(const NngControlClient &) = delete;
    NngControlClient &operator=(const NngControlClient &) = delete;

    void request(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            domain::TimePoint deadline, Callback callback) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::transport
