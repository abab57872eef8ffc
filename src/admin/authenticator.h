#pragma once

#include "admin/principal.h"
#include "config/iconfigview.h"
#include "domain/digest.h"
#include "domain/expected.h"
#include "transport/httpmessage.h"

namespace oriolerill::admin {

/// Authenticates the operator of a request by its bearer token.
class Authenticator
{
public:
    /// bootstrapToken is the digest of a token with all rights; Digest() disables it.
    Authenticator(const config::IConfigView &config, const domain::Digest &bootstrapToken);

    /// Unauthorized without the bootstrap token or that of an account with operator rights.
    domain::Expected<Principal> authenticate(const transport::HttpFields &fields) const;

private:
    const config::IConfigView &m_config;
    domain::Digest m_bootstrapToken;
};

} // namespace oriolerill::admin
