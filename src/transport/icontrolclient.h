#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"

#include <functional>

namespace oriolerill::transport {

/// Sends control messages to other processes of the system.
class IControlClient
{
public:
    using Callback = std::function<void(domain::Expected<protocol::ControlReply>)>;

    virtual ~IControlClient() = default;

    /// Invokes the callback exactly once, at the deadline at the latest: with the reply, or with an
    /// error, which is Timeout, Unavailable or Corrupted. The request may be delivered twice, so
    /// its effect must be idempotent.
    virtual void request(const domain::SocketAddress &peer, const protocol::ControlRequest &message,
            domain::TimePoint deadline, Callback callback)
            = 0;
};

} // namespace oriolerill::transport
