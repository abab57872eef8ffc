#pragma once

#include "domain/expected.h"
#include "protocol/control.pb.h"

#include <functional>

namespace oriolerill::transport {

/// Receives control messages from other processes of the system.
class IControlServer
{
public:
    using Reply = std::function<void(const protocol::ControlReply &)>;
    /// Runs on the worker pool; must call the reply function exactly once.
    using Handler = std::function<void(const protocol::ControlRequest &, Reply)>;

    virtual ~IControlServer() = default;

    /// Starts to listen; Unavailable when the address cannot be bound.
    virtual domain::Expected<domain::Done> start(Handler handler) = 0;
    virtual void stop() = 0;
};

} // namespace oriolerill::transport
