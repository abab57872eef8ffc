#include "agent/internal/engineadmin.h"

#include <boost/json.hpp>

namespace oriolerill::agent {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using rollout::EngineReadiness;
using rollout::EngineReading;
using rollout::OrderResult;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Conflict = 409;
constexpr unsigned MinClientErrorStatus = 400;
constexpr unsigned MinServerErrorStatus = 500;

std::string textOf(const json::object &object, const char *name)
{
    const json::value *const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

std::uint64_t numberOf(const json::object &object, const char *name)
{
    const json::value *const value = object.if_contains(name);
    json::error_code code;
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(code) : 0;
}

EngineReadiness stateFrom(const std::string &text)
{
    if (text == "ready")
        return EngineReadiness::Ready;
    if (text == "loading")
        return EngineReadiness::Loading;
    return text == "empty" ? EngineReadiness::Empty : EngineReadiness::Unreachable;
}

Expected<EngineReading> parseReading(const HttpResponse &response)
{
    json::error_code code;
    const json::value root = json::parse(response.body, code);
    if (response.status != Ok || code || !root.is_object()) {
        return Error{ErrorKind::Corrupted, "no engine state in the answer of /admin/state",
                "check [endpoint] address and admin_token"};
    }
    const json::object &object = root.get_object();
    EngineReading reading;
    reading.state = stateFrom(textOf(object, "state"));
    reading.manifest
            = domain::Digest::fromHex(textOf(object, "manifest")).value_or(domain::Digest());
    reading.fence = domain::FencingNumber(numberOf(object, "fence"));
    reading.inFlight = static_cast<std::uint32_t>(numberOf(object, "inFlight"));
    return reading;
}

} // namespace

EngineAdmin::EngineAdmin(transport::HttpClient &client, domain::SocketAddress engine,
        domain::SocketAddress source, std::string token)
    : m_client(client)
    , m_engine(std::move(engine))
    , m_source(std::move(source))
    , m_token(std::move(token))
{}

HttpRequest EngineAdmin::request(const std::string &method, const std::string &target) const
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    if (!m_token.empty())
        request.fields.add("Authorization", "Bearer " + m_token);
    return request;
}

asio::awaitable<Expected<EngineReading>> EngineAdmin::read(domain::TimePoint deadline)
{
    const domain::TimePoint requestedAt = domain::TimePoint::clock::now();
    HttpRequest message = request("GET", "/admin/state");
    const Expected<HttpResponse> response
            = co_await m_client.send(m_engine, std::move(message), deadline);
    if (!response)
        co_return response.error();
    Expected<EngineReading> reading = parseReading(*response);
    if (reading)
        reading->requestedAt = requestedAt;
    co_return reading;
}

asio::awaitable<OrderResult> EngineAdmin::load(rollout::OrderLoad order, domain::TimePoint deadline)
{
    HttpRequest message = request("POST", "/admin/load");
    json::object body;
    body["manifest"] = order.manifest.hex();
    body["source"] = m_source.toString();
    body["fence"] = order.fence.count();
    message.fields.add("Content-Type", "application/json");
    message.body = json::serialize(body);
    const Expected<HttpResponse> response
            = co_await m_client.send(m_engine, std::move(message), deadline);
    if (!response || response->status >= MinServerErrorStatus)
        co_return OrderResult::Unknown;
    if (response->status == Accepted || response->status == Ok)
        co_return OrderResult::Accepted;
    if (response->status == Conflict)
        co_return OrderResult::Fenced;
    co_return response->status >= MinClientErrorStatus ? OrderResult::Refused
                                                       : OrderResult::Unknown;
}

} // namespace oriolerill::agent
