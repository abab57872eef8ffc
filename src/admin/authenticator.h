#pragma once

#include "admin/principal.h"
#include "config/iconfigview.h"
#include "domain/digest.h"
#include "domain/expected.h"
#include "transport/httpmessage.h"

namespace oriolerill::admin {

/// Finds the operator behind a request by its bearer token.
class Authenticator
{
public:
    /// The bootstrap digest is that of a token with all rights; none switches it off.
    Authenticator(const config::IConfigView &config, const domain::Digest &bootstrapToken);

    /// Unauthorized without a valid token of an account with operator rights.
    domain::Expected<Principal> authenticate(const transport::HttpFields &fields) const;

private:
    const config::IConfigView &m_config;
    domain::Digest m_bootstrapToken;
};

} // namespace oriolerill::admin
