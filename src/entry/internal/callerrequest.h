#pragma once

#include "config/configsnapshot.h"
#include "domain/expected.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "protocol/control.pb.h"
#include "transport/httpmessage.h"

#include <cstdint>
#include <optional>

namespace oriolerill::entry {

/// A caller's request that was parsed and validated.
struct CallerRequest
{
    config::Account account;
    config::Service service;
    domain::RequestId id;
    domain::TimePoint deadline;
    bool isIdempotent = true;
    domain::IdempotencyKey key;
    bool isBatch = false;
    /// xxh64 of the beginning of the prompt; none for plain services.
    std::optional<std::uint64_t> affinity;
    /// The fields that all attempts of the request have in common.
    protocol::Attempt attempt;

    bool isModel() const { return service.kind == config::ServiceKind::Model; }
    /// True for requests that the order ledger deduplicates.
    bool isOrder() const { return !isIdempotent && !key.isEmpty(); }
};

/// Time limits of a request: the default and the maximum that a caller can set.
struct DeadlineLimits
{
    domain::Duration fallback = std::chrono::seconds(30);
    domain::Duration max = std::chrono::minutes(5);
};

/// xxh64 of the beginning of a model request's prompt.
std::uint64_t promptPrefixHash(const std::string &body);

/// Parses a request and validates its token, service, deadline, priority and key. Returns
/// Unauthorized, NotFound or InvalidInput with the reason.
domain::Expected<CallerRequest> parseCallerRequest(transport::HttpRequest &request,
        const config::ConfigSnapshot &snapshot, const DeadlineLimits &limits, domain::RequestId id,
        domain::TimePoint now);

} // namespace oriolerill::entry
