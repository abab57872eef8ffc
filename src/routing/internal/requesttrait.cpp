#include "routing/requesttrait.h"

#include "domain/digest.h"

namespace oriolerill::routing {

RequestTrait wholeRequest(std::string_view method, std::string_view host, std::string_view target,
        std::string_view account, std::string_view body)
{
    /// A datagram has room for about a dozen crashes.
    constexpr std::size_t DigestLength = 24;
    std::string text;
    for (const std::string_view field : {method, host, target, account}) {
        text += std::to_string(field.size()) + ':';
        text += field;
    }
    // The body is digested on its own, so that it is not copied.
    text += domain::Digest::of(body).bytes();
    return RequestTrait(domain::Digest::of(text).hex().substr(0, DigestLength),
            RequestTrait::Kind::WholeRequest);
}

} // namespace oriolerill::routing
