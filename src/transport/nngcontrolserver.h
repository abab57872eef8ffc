#pragma once

#include "domain/socketaddress.h"
#include "transport/icontrolserver.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace oriolerill::transport {

class SocketCloser;

/// Control server over an nng reply socket.
class NngControlServer : public IControlServer
{
public:
    /// Handlers run on the executor.
    NngControlServer(boost::asio::any_io_executor executor, domain::SocketAddress listenAddress);
    ~NngControlServer() override;
    NngControlServer(const NngControlServer &) = delete;
    NngControlServer &operator=(const NngControlServer &) = delete;

    domain::Expected<domain::Done> start(Handler handler) override;
    void stop() override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
    std::unique_ptr<SocketCloser> m_closer;
};

} // namespace oriolerill::transport
