#pragma once

#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "transport/httpmessage.h"

namespace oriolerill::admin {

/// Sends requests of the operators' commands to the administration API.
class IAdminClient
{
public:
    virtual ~IAdminClient() = default;

    /// Unavailable or Timeout when there is no answer.
    virtual domain::Expected<transport::HttpResponse> send(
            const domain::SocketAddress &entry, transport::HttpRequest request)
            = 0;
};

} // namespace oriolerill::admin
