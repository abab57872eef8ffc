#pragma once

namespace oriolerill::routing {

enum class RefusalReason {
    /// No endpoint of the service may take the request.
    NoEndpoint,
    /// The expected wait is too long at all endpoints.
    Full,
    /// No plain endpoint is expected to answer before the caller's deadline.
    PlainFull,
    /// Only a rate limit that an endpoint has stated prevents it from taking the request.
    Limited,
    /// Parts of the request's prompt have crashed engines.
    CrashingTraits,
    /// The remaining capacity is kept for more urgent requests.
    Priority,
    /// The account has more than its share of scarce capacity.
    AccountShare,
};

} // namespace oriolerill::routing
