#include "objectstore/objectstoreclient.h"

#include "config/versiontext.h"
#include "objectstore/internal/objectcodec.h"
#include "objectstore/internal/outagebackoff.h"
#include "objectstore/internal/ratebudget.h"
#include "transport/percentencoding.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <mutex>
#include <optional>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using domain::ConfigVersion;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Gone = 410;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServerErrors = 500;
constexpr unsigned ServiceUnavailable = 503;

/// Outcome of one call.
enum class Outcome {
    Answered,
    /// The store refused the call or did not receive it.
    WithoutEffect,
    /// The call was sent but got no conclusive answer.
    Unknown,
};

struct Attempt
{
    Outcome outcome = Outcome::Unknown;
    HttpResponse response;
    Error error;
};

struct Route
{
    std::size_t index = 0;
    TimePoint sendAt;
};

Attempt withoutEffect(Error error)
{
    Attempt attempt;
    attempt.outcome = Outcome::WithoutEffect;
    attempt.error = std::move(error);
    return attempt;
}

// HttpClient's message names the failed step. A request that failed while connecting was not sent.
bool isNeverSent(const Error &error)
{
    return error.message.find("connecting to ") != std::string::npos;
}

Attempt classify(Expected<HttpResponse> answer)
{
    Attempt attempt;
    if (!answer) {
        attempt.error = answer.error();
        attempt.outcome = isNeverSent(answer.error()) ? Outcome::WithoutEffect : Outcome::Unknown;
        return attempt;
    }
    attempt.response = std::move(*answer);
    const unsigned status = attempt.response.status;
    attempt.outcome = Outcome::Answered;
    if (status == TooManyRequests || status == ServiceUnavailable)
        attempt.outcome = Outcome::WithoutEffect;
    else if (status >= ServerErrors)
        attempt.outcome = Outcome::Unknown;
    if (attempt.outcome != Outcome::Answered)
        attempt.error = internal::parseStoreError(status, attempt.response.body);
    return attempt;
}

Error unknownResult(const std::string &key)
{
    return Error{ErrorKind::Timeout, "it is unknown whether the write of " + key + " took effect",
            "read the object and compare its value before writing again"};
}

Error conflict(const std::string &key, const std::string &current)
{
    return Error{ErrorKind::Conflict,
            key + " has been changed; its version is " + (current.empty() ? "none" : current),
            "read the object again at this version and repeat the change"};
}

std::optional<ConfigVersion> versionOf(const HttpResponse &response)
{
    return config::parseVersion(response.fields.valueOr("X-Version", ""));
}

asio::awaitable<void> sleepUntil(TimePoint time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_at(time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// For a target, in which the slashes of a key stand as they are.
std::string encodedKey(std::string_view key)
{
    return transport::percentEncoded(key, "/");
}

HttpRequest get(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    return request;
}

} // namespace

/// A conditional write and its state so far.
struct ConditionalWrite
{
    std::string key;
    HttpRequest request;
    /// Value after the write; empty for a deletion.
    std::optional<std::string> value;
    bool mayHaveTakenEffect = false;
};

class ObjectStoreClient::Implementation
{
public:
    Implementation(transport::HttpClient &client, ObjectStoreOptions options)
        : m_client(client)
        , m_options(std::move(options))
        , m_rate(m_options.callsPerSecond, m_options.burst)
    {
        for (std::size_t i = 0; i < m_options.addresses.size(); ++i)
            m_backoffs.emplace_back(m_options.seed + i);
    }

    std::size_t addressCount() const { return m_backoffs.size(); }

    asio::awaitable<Attempt> attempt(HttpRequest request, TimePoint deadline, TimePoint answerBy);
    asio::awaitable<Attempt> query(HttpRequest request, TimePoint deadline, TimePoint answerBy);
    asio::awaitable<Expected<StoredObject>> read(std::string key, TimePoint deadline);
    asio::awaitable<Expected<ConfigVersion>> write(ConditionalWrite write, TimePoint deadline);

private:
    asio::awaitable<std::optional<Expected<ConfigVersion>>> conclude(
            ConditionalWrite &write, HttpResponse answer, TimePoint deadline);
    asio::awaitable<std::optional<Expected<ConfigVersion>>> readBack(
            ConditionalWrite &write, std::string current, TimePoint deadline);

    Expected<Route> chooseRoute(TimePoint now, TimePoint deadline);
    void onAttempt(std::size_t index, const Attempt &attempt);
    TimePoint earliestRetry() const;

    transport::HttpClient &m_client;
    ObjectStoreOptions m_options;
    mutable std::mutex m_mutex;
    internal::RateBudget m_rate;
    std::vector<internal::OutageBackoff> m_backoffs;
    std::size_t m_preferred = 0;
};

Expected<Route> ObjectStoreClient::Implementation::chooseRoute(TimePoint now, TimePoint deadline)
{
    const std::scoped_lock lock(m_mutex);
    for (std::size_t i = 0; i < m_backoffs.size(); ++i) {
        const std::size_t index = (m_preferred + i) % m_backoffs.size();
        if (m_backoffs[index].retryAt() > now)
            continue;
        const std::optional<TimePoint> sendAt = m_rate.reserve(now, deadline);
        if (!sendAt) {
            return Error{ErrorKind::RateLimited,
                    "the bound on this process's calls to the object API is reached",
                    "wait, or raise the bound after checking the store's capacity"};
        }
        return Route{index, *sendAt};
    }
    return Error{ErrorKind::Unavailable, "the object API does not answer; the call was not sent",
            "wait until the platform is back"};
}

void ObjectStoreClient::Implementation::onAttempt(std::size_t index, const Attempt &attempt)
{
    const TimePoint now = TimePoint::clock::now();
    const std::scoped_lock lock(m_mutex);
    if (attempt.outcome == Outcome::Answered) {
        m_backoffs[index].onSuccess();
        m_preferred = index;
        return;
    }
    if (attempt.error.kind == ErrorKind::RateLimited)
        m_rate.onRefused(now);
    else
        m_backoffs[index].onFailure(now);
}

TimePoint ObjectStoreClient::Implementation::earliestRetry() const
{
    const std::scoped_lock lock(m_mutex);
    TimePoint earliest = TimePoint::max();
    for (const internal::OutageBackoff &backoff : m_backoffs)
        earliest = std::min(earliest, backoff.retryAt());
    return earliest;
}

asio::awaitable<Attempt> ObjectStoreClient::Implementation::attempt(
        HttpRequest request, TimePoint deadline, TimePoint answerBy)
{
    const Expected<Route> route = chooseRoute(TimePoint::clock::now(), deadline);
    if (!route)
        co_return withoutEffect(route.error());
    if (route->sendAt > TimePoint::clock::now())
        co_await sleepUntil(route->sendAt);
    Expected<HttpResponse> answer = co_await m_client.send(
            m_options.addresses[route->index], std::move(request), answerBy);
    Attempt result = classify(std::move(answer));
    onAttempt(route->index, result);
    co_return result;
}

// Reads are sent once to each address; callers decide when to retry.
asio::awaitable<Attempt> ObjectStoreClient::Implementation::query(
        HttpRequest request, TimePoint deadline, TimePoint answerBy)
{
    Attempt result;
    for (std::size_t i = 0; i < m_backoffs.size(); ++i) {
        HttpRequest copy = request;
        Attempt next = co_await attempt(std::move(copy), deadline, answerBy);
        const bool isNoRoute = next.outcome == Outcome::WithoutEffect && i > 0;
        if (!isNoRoute)
            result = std::move(next);
        if (result.outcome == Outcome::Answered || TimePoint::clock::now() >= deadline)
            break;
    }
    co_return result;
}

asio::awaitable<Expected<StoredObject>> ObjectStoreClient::Implementation::read(
        std::string key, TimePoint deadline)
{
    const TimePoint answerBy
            = std::min(deadline, TimePoint::clock::now() + m_options.answerTimeout);
    HttpRequest request = get("/v1/objects/" + encodedKey(key));
    Attempt result = co_await query(std::move(request), deadline, answerBy);
    if (result.outcome != Outcome::Answered)
        co_return result.error;
    if (result.response.status == NotFound) {
        co_return Error{
                ErrorKind::NotFound, "no object " + key, "check the key, or create the object"};
    }
    const std::optional<ConfigVersion> version = versionOf(result.response);
    if (result.response.status != Ok || !version)
        co_return internal::parseStoreError(result.response.status, result.response.body);
    StoredObject object;
    object.key = std::move(key);
    object.value = std::move(result.response.body);
    object.version = *version;
    co_return object;
}

// The stored value shows whether an earlier attempt of this write took effect. Values that several
// writers could produce contain a write id.
asio::awaitable<std::optional<Expected<ConfigVersion>>> ObjectStoreClient::Implementation::readBack(
        ConditionalWrite &write, std::string current, TimePoint deadline)
{
    const Expected<StoredObject> object = co_await read(write.key, deadline);
    const bool isAbsent = !object && object.error().kind == ErrorKind::NotFound;
    if (!object && !isAbsent)
        co_return std::nullopt;
    if (isAbsent && !write.value)
        co_return Expected<ConfigVersion>(config::parseVersion(current).value_or(ConfigVersion()));
    if (!isAbsent && write.value && *write.value == object->value)
        co_return Expected<ConfigVersion>(object->version);
    co_return Expected<ConfigVersion>(conflict(write.key, current));
}

asio::awaitable<std::optional<Expected<ConfigVersion>>> ObjectStoreClient::Implementation::conclude(
        ConditionalWrite &write, HttpResponse answer, TimePoint deadline)
{
    if (answer.status == Ok) {
        const std::optional<ConfigVersion> version = versionOf(answer);
        if (version)
            co_return Expected<ConfigVersion>(*version);
    }
    const bool isConflict = answer.status == PreconditionFailed || answer.status == NotFound;
    if (!isConflict)
        co_return Expected<ConfigVersion>(internal::parseStoreError(answer.status, answer.body));
    std::string current = answer.fields.valueOr("X-Version", "");
    if (!write.mayHaveTakenEffect)
        co_return Expected<ConfigVersion>(conflict(write.key, current));
    co_return co_await readBack(write, std::move(current), deadline);
}

asio::awaitable<Expected<ConfigVersion>> ObjectStoreClient::Implementation::write(
        ConditionalWrite write, TimePoint deadline)
{
    std::size_t refusals = 0;
    for (;;) {
        const TimePoint now = TimePoint::clock::now();
        if (now >= deadline)
            co_return unknownResult(write.key);
        const TimePoint answerBy = std::min(deadline, now + m_options.answerTimeout);
        HttpRequest request = write.request;
        Attempt result = co_await attempt(std::move(request), deadline, answerBy);
        if (result.outcome == Outcome::Answered) {
            std::optional<Expected<ConfigVersion>> conclusion
                    = co_await conclude(write, std::move(result.response), deadline);
            if (conclusion)
                co_return std::move(*conclusion);
        }
        if (result.outcome == Outcome::Unknown)
            write.mayHaveTakenEffect = true;
        if (result.outcome == Outcome::WithoutEffect && !write.mayHaveTakenEffect) {
            if (++refusals >= addressCount() || result.error.kind == ErrorKind::RateLimited)
                co_return std::move(result.error);
            continue;
        }
        co_await sleepUntil(std::min(deadline, earliestRetry()));
    }
}

ObjectStoreClient::ObjectStoreClient(transport::HttpClient &client, ObjectStoreOptions options)
    : m_implementation(std::make_shared<Implementation>(client, std::move(options)))
{}

ObjectStoreClient::~ObjectStoreClient() = default;

asio::awaitable<Expected<StoredObject>> ObjectStoreClient::read(std::string key, TimePoint deadline)
{
    return m_implementation->read(std::move(key), deadline);
}

asio::awaitable<Expected<ObjectList>> ObjectStoreClient::list(
        std::string prefix, TimePoint deadline)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    HttpRequest request = get("/v1/objects?prefix=" + encodedKey(prefix));
    Attempt result = co_await implementation->query(std::move(request), deadline, deadline);
    if (result.outcome != Outcome::Answered)
        co_return result.error;
    if (result.response.status != Ok)
        co_return internal::parseStoreError(result.response.status, result.response.body);
    co_return internal::parseObjectList(result.response.body);
}

asio::awaitable<Expected<ConfigVersion>> ObjectStoreClient::create(
        std::string key, std::string value, TimePoint deadline)
{
    ConditionalWrite write;
    write.request.method = "PUT";
    write.request.target = "/v1/objects/" + encodedKey(key);
    write.request.fields.add("If-None-Match", "*");
    write.request.body = value;
    write.key = std::move(key);
    write.value = std::move(value);
    return m_implementation->write(std::move(write), deadline);
}

asio::awaitable<Expected<ConfigVersion>> ObjectStoreClient::update(
        std::string key, std::string value, ConfigVersion expected, TimePoint deadline)
{
    ConditionalWrite write;
    write.request.method = "PUT";
    write.request.target = "/v1/objects/" + encodedKey(key);
    write.request.fields.add("If-Match", config::toText(expected));
    write.request.body = value;
    write.key = std::move(key);
    write.value = std::move(value);
    return m_implementation->write(std::move(write), deadline);
}

asio::awaitable<Expected<ConfigVersion>> ObjectStoreClient::remove(
        std::string key, ConfigVersion expected, TimePoint deadline)
{
    ConditionalWrite write;
    write.request.method = "DELETE";
    write.request.target = "/v1/objects/" + encodedKey(key);
    write.request.fields.add("If-Match", config::toText(expected));
    write.key = std::move(key);
    return m_implementation->write(std::move(write), deadline);
}

asio::awaitable<Expected<ObjectList>> ObjectStoreClient::watch(
        std::string prefix, ConfigVersion after, TimePoint deadline)
{
    // The store answers when its timeout ends; the grace time is for the transfer of the answer.
    constexpr auto Grace = std::chrono::milliseconds(500);
    const std::shared_ptr<Implementation> implementation = m_implementation;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - TimePoint::clock::now());
    const std::string timeout = std::to_string(std::max<std::int64_t>(left.count(), 0));
    HttpRequest request = get("/v1/watch?prefix=" + encodedKey(prefix)
            + "&after=" + config::toText(after) + "&timeout_ms=" + timeout);
    Attempt result = co_await implementation->query(std::move(request), deadline, deadline + Grace);
    if (result.outcome != Outcome::Answered)
        co_return result.error;
    if (result.response.status == Gone) {
        co_return Error{ErrorKind::NotFound,
                "the store no longer has the changes since " + config::toText(after),
                "list the objects again"};
    }
    if (result.response.status != Ok)
        co_return internal::parseStoreError(result.response.status, result.response.body);
    co_return internal::parseObjectList(result.response.body);
}

asio::awaitable<Expected<std::vector<ListedVm>>> ObjectStoreClient::listVms(TimePoint deadline)
{
    const std::shared_ptr<Implementation> implementation = m_implementation;
    HttpRequest request = get("/v1/vms");
    Attempt result = co_await implementation->query(std::move(request), deadline, deadline);
    if (result.outcome != Outcome::Answered)
        co_return result.error;
    if (result.response.status != Ok)
        co_return internal::parseStoreError(result.response.status, result.response.body);
    co_return internal::parseVmList(result.response.body);
}

} // namespace oriolerill::objectstore
