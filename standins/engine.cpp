#include "engine.h"

#include "generationtext.h"
#include "program.h"

#include "domain/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;
using transport::errorResponse;
using transport::HttpResponse;
using transport::HttpServerExchange;

namespace {

constexpr std::size_t PrefixSize = 64;
constexpr std::uint64_t MaxTokens = 100000;
constexpr std::string_view ControlPath = "/standin/";

HttpResponse overloadedResponse(const std::string &message, unsigned status)
{
    HttpResponse response = errorResponse(
            Error{ErrorKind::Overloaded, message, "send the request later or elsewhere"});
    response.status = status;
    return response;
}

json::object parseObject(const std::string &text)
{
    json::error_code code;
    json::value document = json::parse(text, code);
    return code || !document.is_object() ? json::object() : std::move(document.get_object());
}

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

std::uint64_t numberOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    json::error_code code;
    const auto number
            = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(code) : 0;
    return code ? 0 : number;
}

} // namespace

Engine::Engine(asio::any_io_executor executor, EngineOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_client(m_executor, transport::HttpClientOptions{m_options.sourceHost})
    , m_loader(m_client)
    , m_capacity(m_options.capacity)
    , m_state(m_options.manifest.empty() ? "empty" : "ready")
    , m_manifest(m_options.manifest)
    , m_tokenDigest(m_options.manifest)
{}

asio::awaitable<void> Engine::handle(HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    if (target.path() == "/v1/generate") {
        co_await generate(exchange);
        co_return;
    }
    HttpResponse response;
    if (target.startsWith(ControlPath))
        response = control(target);
    else if (!isAdmin(exchange.request()))
        response = errorResponse(
                Error{ErrorKind::Unauthorized, "the admin token is missing or wrong",
                        "send Authorization: Bearer with the engine's admin token"});
    else if (target.path() == "/admin/load")
        response = orderLoad(exchange.request());
    else if (target.path() == "/admin/state")
        response = state();
    else
        response = errorResponse(
                Error{ErrorKind::NotFound, "unknown path", "use /v1/generate or /admin"});
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Engine::generate(HttpServerExchange &exchange)
{
    const json::object body = parseObject(exchange.request().body);
    Generation generation;
    generation.prompt = textOf(body, "prompt");
    generation.tokens = std::clamp<std::uint64_t>(numberOf(body, "max_tokens"), 1, MaxTokens);
    const std::string offset = exchange.request().fields.valueOr("X-Resume-Offset", "0");
    std::from_chars(offset.data(), offset.data() + offset.size(), generation.resumeOffset);

    HttpResponse refusal = overloadedResponse("the engine has no weights", 503);
    const bool isReady = m_state == "ready";
    const auto admission = isReady ? m_capacity.begin() : ColdStart::Admission::Full;
    if (admission != ColdStart::Admission::Admitted) {
        const bool isOverrun = admission == ColdStart::Admission::Overrun;
        ++m_counters[isOverrun ? "overrun" : isReady ? "refused_full" : "refused_not_ready"];
        if (isReady)
            refusal = overloadedResponse("the engine is full", isOverrun ? 500 : 503);
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    ++m_counters["generations"];
    co_await stream(exchange, generation);
    m_capacity.end();
}

asio::awaitable<void> Engine::stream(HttpServerExchange &exchange, const Generation &generation)
{
    const std::string startDigest = m_tokenDigest;
    transport::HttpResponseHead head;
    head.fields.add("Content-Type", "text/plain");
    head.fields.add("X-Weights-Digest", m_manifest);
    if (!recordPrefix(generation.prompt))
        co_await sleepFor(m_options.prefillTime * m_capacity.slowdownFactor());
    auto sent = co_await exchange.start(std::move(head));

    std::uint64_t index = generation.resumeOffset / TokenSize;
    std::size_t skipped = generation.resumeOffset % TokenSize;
    TimePoint next = TimePoint::clock::now();
    while (index < generation.tokens && sent) {
        next += tokenTime();
        co_await sleepUntil(next);
        // Each token comes from the weights in memory, so a load order during a stream gives a
        // mixed answer.
        std::string token = generationToken(m_tokenDigest, generation.prompt, index);
        token.erase(0, std::exchange(skipped, 0));
        sent = co_await exchange.write(std::move(token));
        ++index;
    }
    if (m_tokenDigest != startDigest)
        ++m_counters["mixed_streams"];
    transport::HttpFields none;
    if (sent)
        sent = co_await exchange.finish(std::move(none));
    ++m_counters[sent ? "finished" : "cancelled"];
}

domain::Duration Engine::tokenTime() const
{
    // Continuous batching: a full batch doubles the time per token.
    const auto base = m_options.tokenTime * m_capacity.slowdownFactor();
    return base + base * m_capacity.inFlight() / std::max(m_options.capacity.warm, 1U);
}

bool Engine::recordPrefix(const std::string &prompt)
{
    const std::string prefix = prompt.substr(0, PrefixSize);
    const auto found = m_cacheIndex.find(prefix);
    const bool isHit = found != m_cacheIndex.end();
    if (isHit)
        m_cache.erase(found->second);
    m_cache.push_front(prefix);
    m_cacheIndex[prefix] = m_cache.begin();
    if (m_cache.size() > m_options.cacheEntries) {
        m_cacheIndex.erase(m_cache.back());
        m_cache.pop_back();
    }
    ++m_counters[isHit ? "cache_hits" : "cache_misses"];
    return isHit;
}

HttpResponse Engine::orderLoad(const transport::HttpRequest &request)
{
    const json::object body = parseObject(request.body);
    const std::string manifest = textOf(body, "manifest");
    const auto source = domain::SocketAddress::parse(textOf(body, "source"));
    const std::uint64_t fence = numberOf(body, "fence");
    if (!domain::Digest::fromHex(manifest) || !source)
        return errorResponse(Error{ErrorKind::InvalidInput, "malformed load order",
                R"(send {"manifest":"<64 hex digits>","source":"<ip:port>","fence":<n>})"});
    if (fence < m_fence) {
        ++m_counters["old_fences"];
        if (m_options.checksFence)
            return errorResponse(Error{ErrorKind::Fenced,
                    "a later order than " + std::to_string(fence) + " was given",
                    "read the state and use a higher number"});
    }
    if (m_capacity.inFlight() > 0)
        ++m_counters["orders_during_requests"];
    ++m_counters["orders"];
    m_fence = std::max(m_fence, fence);
    ++m_order;
    m_state = "loading";
    m_manifest = manifest;
    asio::co_spawn(m_executor, runLoad(m_order, manifest, *source), asio::detached);
    return jsonResponse(R"({"accepted":true})", 202);
}

asio::awaitable<void> Engine::runLoad(
        std::uint64_t order, std::string manifest, domain::SocketAddress source)
{
    const TimePoint earliest = TimePoint::clock::now() + m_options.loadTime;
    const WeightsLoader::Result result = co_await m_loader.load(manifest, source);
    co_await sleepUntil(earliest);
    if (order != m_order)
        co_return;
    m_cache.clear();
    m_cacheIndex.clear();
    m_capacity.makeCold();
    if (result == WeightsLoader::Result::Failed) {
        ++m_counters["failed_loads"];
        m_state = "empty";
        m_manifest.clear();
        m_tokenDigest.clear();
        co_return;
    }
    const bool isBad = result == WeightsLoader::Result::Bad;
    ++m_counters[isBad ? "bad_loads" : "loads"];
    m_state = "ready";
    m_tokenDigest = isBad ? "badbadba" : manifest;
}

HttpResponse Engine::state() const
{
    json::object state;
    state["state"] = m_state;
    state["manifest"] = m_manifest;
    state["fence"] = m_fence;
    state["inFlight"] = m_capacity.inFlight();
    return jsonResponse(json::serialize(state));
}

HttpResponse Engine::control(const Target &target)
{
    const std::string name = target.after(ControlPath);
    if (name == "counters")
        return textResponse(counters());
    if (name == "cold")
        m_capacity.makeCold();
    else if (name == "lose-weights") {
        m_state = "empty";
        m_manifest.clear();
        m_tokenDigest.clear();
    } else
        return textResponse("error=unknown control\n", 404);
    return textResponse("ok=1\n");
}

bool Engine::isAdmin(const transport::HttpRequest &request) const
{
    return m_options.adminToken.empty()
            || request.fields.valueOr("Authorization", "") == "Bearer " + m_options.adminToken;
}

std::string Engine::counters() const
{
    std::string text = "state=" + m_state + "\nmanifest=" + m_manifest
            + "\nin_flight=" + std::to_string(m_capacity.inFlight())
            + "\ncapacity=" + std::to_string(m_capacity.capacity())
            + "\nbytes_loaded=" + std::to_string(m_loader.bytesLoaded()) + '\n';
    const std::map<std::string, std::uint64_t> sorted(m_counters.begin(), m_counters.end());
    for (const auto &[name, count] : sorted)
        text += name + '=' + std::to_string(count) + '\n';
    return text;
}

} // namespace oriolerill::standins
