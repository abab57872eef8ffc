#include "admin/authenticator.h"

#include <boost/algorithm/string/predicate.hpp>

#include <string_view>

namespace oriolerill::admin {

using domain::Error;
using domain::ErrorKind;

Authenticator::Authenticator(
        const config::IConfigView &config, const domain::Digest &bootstrapToken)
    : m_config(config)
    , m_bootstrapToken(bootstrapToken)
{}

domain::Expected<Principal> Authenticator::authenticate(const transport::HttpFields &fields) const
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string field = fields.valueOr("Authorization", "");
    if (!boost::algorithm::istarts_with(field, Scheme) || field.size() == Scheme.size()) {
        return Error{ErrorKind::Unauthorized, "the request names no bearer token",
                "send Authorization: Bearer <token> of an operator's account"};
    }
    // Digests are compared, so the time of the comparison reveals nothing about the token.
    const auto digest = domain::Digest::of(std::string_view(field).substr(Scheme.size()));
    if (!m_bootstrapToken.isNone() && digest == m_bootstrapToken)
        return Principal("bootstrap", {});
    const auto snapshot = m_config.snapshot();
    const config::Account *account = snapshot->accountByToken(digest);
    if (account == nullptr) {
        return Error{ErrorKind::Unauthorized, "the token belongs to no account",
                "use the token of an operator's account, or wait until a new account is in force"};
    }
    if (!account->isOperator) {
        return Error{ErrorKind::Unauthorized,
                "account " + account->id.value() + " has no operator rights",
                "ask an operator of all services to set \"operator\": true in the account"};
    }
    return Principal(account->id.value(), account->services);
}

} // namespace oriolerill::admin
