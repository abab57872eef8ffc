#include "entry/internal/callerrequest.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace oriolerill::entry {

using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t MaxKeyLength = 256;
// Prompts with the same first bytes are likely to share a cached prefix at an endpoint.
constexpr std::size_t AffinityPrefixBytes = 256;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/// Header fields that the entry consumes or that are hop-by-hop; they are not forwarded.
bool isConsumedField(std::string_view name)
{
    constexpr std::array<std::string_view, 11> Names{"authorization", "connection",
            "content-length", "host", "idempotency-key", "keep-alive", "te", "trailer",
            "transfer-encoding", "x-priority", "x-request-deadline-ms"};
    return std::binary_search(Names.begin(), Names.end(), lowerCase(name));
}

Expected<domain::Duration> parseDeadline(
        const transport::HttpFields &fields, const DeadlineLimits &limits)
{
    const std::optional<std::string> text = fields.value("X-Request-Deadline-Ms");
    if (!text)
        return limits.fallback;
    std::uint32_t count = 0;
    const auto [end, code] = std::from_chars(text->data(), text->data() + text->size(), count);
    if (code != std::errc() || end != text->data() + text->size() || count == 0) {
        return Error{ErrorKind::InvalidInput, "X-Request-Deadline-Ms is not a positive number",
                "send the time that the request may take, in milliseconds"};
    }
    return std::min<domain::Duration>(milliseconds(count), limits.max);
}

Expected<bool> parseBatch(const transport::HttpFields &fields)
{
    const std::string priority = fields.valueOr("X-Priority", "interactive");
    if (priority != "interactive" && priority != "batch") {
        return Error{ErrorKind::InvalidInput, "X-Priority is unknown",
                "send interactive or batch, or leave the field out"};
    }
    return priority == "batch";
}

Expected<config::Account> authenticate(
        const transport::HttpFields &fields, const config::ConfigSnapshot &snapshot)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string value = fields.valueOr("Authorization", "");
    if (value.starts_with(Scheme)) {
        const std::string_view token = std::string_view(value).substr(Scheme.size());
        const config::Account *account = snapshot.accountByToken(domain::Digest::of(token));
        if (account != nullptr)
            return *account;
    }
    return Error{ErrorKind::Unauthorized, "the token is missing or unknown",
            "send Authorization: Bearer <token> with a token of an account"};
}

Expected<config::Service> findService(const std::string &name, const config::Account &account,
        const config::ConfigSnapshot &snapshot)
{
    const domain::ServiceId id(name);
    const auto service = snapshot.services.find(id);
    const bool isAllowed = account.services.empty() || account.services.contains(id);
    if (service != snapshot.services.end() && isAllowed)
        return service->second;
    return Error{ErrorKind::NotFound, "the service is unknown or not open to the account",
            "use /v1/services/<service>/<path> with a service of the account"};
}

bool isIdempotent(const config::Service &service, const protocol::Attempt &attempt)
{
    return std::none_of(service.nonIdempotentCalls.begin(), service.nonIdempotentCalls.end(),
            [&](const config::NonIdempotentCall &call) {
                return call.method == attempt.method()
                        && attempt.target().starts_with(call.pathPrefix);
            });
}

void fillAttempt(CallerRequest &parsed, transport::HttpRequest &request)
{
    protocol::Attempt &attempt = parsed.attempt;
    attempt.set_request_id(parsed.id.value());
    attempt.set_account(parsed.account.id.value());
    attempt.set_service(parsed.service.id.value());
    attempt.set_method(request.method);
    attempt.set_body(std::move(request.body));
    attempt.set_batch(parsed.isBatch);
    attempt.set_idempotency_key(parsed.key.value());
    for (const transport::HttpField &field : request.fields) {
        if (isConsumedField(field.name))
            continue;
        protocol::Header &header = *attempt.add_headers();
        header.set_name(field.name);
        header.set_value(field.value);
    }
}

} // namespace

std::uint64_t promptPrefixHash(const std::string &body)
{
    constexpr std::string_view Name = "\"prompt\"";
    const std::size_t position = body.find(Name);
    const std::size_t start = position == std::string::npos ? 0 : position;
    const std::string_view prefix = std::string_view(body).substr(start, AffinityPrefixBytes);
    return XXH64(prefix.data(), prefix.size(), 0);
}

Expected<CallerRequest> parseCallerRequest(transport::HttpRequest &request,
        const config::ConfigSnapshot &snapshot, const DeadlineLimits &limits, domain::RequestId id,
        TimePoint now)
{
    CallerRequest parsed;
    parsed.id = std::move(id);
    const Expected<config::Account> account = authenticate(request.fields, snapshot);
    if (!account)
        return account.error();
    parsed.account = *account;

    const std::string_view target = request.target;
    const std::string_view rest
            = target.starts_with(ServicePrefix) ? target.substr(ServicePrefix.size()) : "";
    const std::size_t nameEnd = std::min(rest.find_first_of("/?"), rest.size());
    const Expected<config::Service> service
            = findService(std::string(rest.substr(0, nameEnd)), parsed.account, snapshot);
    if (!service)
        return service.error();
    parsed.service = *service;

    const Expected<domain::Duration> allowed = parseDeadline(request.fields, limits);
    const Expected<bool> isBatch = parseBatch(request.fields);
    if (!allowed)
        return allowed.error();
    if (!isBatch)
        return isBatch.error();
    parsed.deadline = now + *allowed;
    parsed.isBatch = *isBatch;
    parsed.key = domain::IdempotencyKey(request.fields.valueOr("Idempotency-Key", ""));
    if (parsed.key.value().size() > MaxKeyLength) {
        return Error{ErrorKind::InvalidInput, "Idempotency-Key is too long",
                "send a key of at most 256 bytes"};
    }

    const std::string path(rest.substr(nameEnd));
    parsed.attempt.set_target(path.starts_with('/') ? path : '/' + path);
    fillAttempt(parsed, request);
    parsed.isIdempotent = isIdempotent(parsed.service, parsed.attempt);
    parsed.attempt.set_idempotent(parsed.isIdempotent);
    if (parsed.isModel())
        parsed.affinity = promptPrefixHash(parsed.attempt.body());
    return parsed;
}

} // namespace oriolerill::entry
