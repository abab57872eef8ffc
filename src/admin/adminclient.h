#pragma once

#include "admin/iadminclient.h"
#include "domain/timepoint.h"

namespace oriolerill::admin {

/// Sends one request at a time over HTTP and waits for its answer.
class AdminClient : public IAdminClient
{
public:
    explicit AdminClient(domain::Duration timeout);

    domain::Expected<transport::HttpResponse> send(
            const domain::SocketAddress &entry, transport::HttpRequest request) override;

private:
    domain::Duration m_timeout;
};

} // namespace oriolerill::admin
