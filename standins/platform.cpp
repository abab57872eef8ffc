#include "platform.h"

#include "program.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;
using std::chrono::milliseconds;
using transport::errorResponse;
using transport::HttpResponse;
using transport::HttpServerExchange;

namespace {

constexpr std::size_t MaxValueSize = 1U << 20U;
constexpr std::string_view ObjectsPath = "/v1/objects/";
constexpr std::string_view ControlPath = "/standin/";

std::string toBase64(const std::string &data)
{
    std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
            reinterpret_cast<const unsigned char *>(data.data()), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string listJson(const ObjectTable::Objects &objects, const domain::ConfigVersion &version)
{
    json::array items;
    for (const auto &[key, object] : objects) {
        json::object item;
        item["key"] = key;
        item["version"] = toText(object.version);
        if (object.isDeleted)
            item["deleted"] = true;
        else
            item["valueBase64"] = toBase64(object.value);
        items.emplace_back(std::move(item));
    }
    json::object list;
    list["storeVersion"] = toText(version);
    list["objects"] = std::move(items);
    return json::serialize(list);
}

HttpResponse notFound(const std::string &what)
{
    return errorResponse(
            Error{ErrorKind::NotFound, what + " does not exist", "create it or check its name"});
}

HttpResponse conflict(const ObjectTable::Object *current)
{
    HttpResponse response = errorResponse(Error{ErrorKind::Conflict,
            "the object has another version", "read the object and repeat the change"});
    response.status = 412;
    if (current != nullptr)
        response.fields.add("X-Version", toText(current->version));
    return response;
}

HttpResponse versionResponse(const domain::ConfigVersion &version)
{
    HttpResponse response;
    response.fields.add("X-Version", toText(version));
    return response;
}

} // namespace

Platform::Platform(const PlatformOptions &options)
    : m_reads(options.readsPerSecond)
    , m_writes(options.writesPerSecond)
{
    setVms(R"({"vms":[]})");
}

void Platform::loadObjects(const std::string &text)
{
    const json::value document = json::parse(text);
    const json::object &root = document.as_object();
    if (const json::value *objects = root.if_contains("objects")) {
        for (const json::value &object : objects->as_array()) {
            const json::value &value = object.at("value");
            m_objects.put(json::value_to<std::string>(object.at("key")),
                    value.is_string() ? json::value_to<std::string>(value)
                                      : json::serialize(value));
        }
    }
    if (const json::value *vms = root.if_contains("vms"))
        setVms(json::serialize(json::object{{"vms", *vms}}));
}

asio::awaitable<void> Platform::handle(HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    if (target.startsWith(ControlPath)) {
        HttpResponse response = control(target, exchange.request());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (m_outage != Outage::Off) {
        co_await answerInOutage(exchange);
        co_return;
    }
    if (m_answerDelay > m_answerDelay.zero())
        co_await sleepFor(m_answerDelay);
    co_await handleCall(exchange, target);
}

asio::awaitable<void> Platform::handleCall(HttpServerExchange &exchange, const Target &target)
{
    const std::string method = exchange.request().method;
    const bool isWrite = method == "PUT" || method == "DELETE";
    ++m_counters[isWrite ? "writes" : "reads"];
    RateBucket &bucket = isWrite ? m_writes : m_reads;
    if (!bucket.take(TimePoint::clock::now())) {
        ++m_counters["rate_limited"];
        HttpResponse response = errorResponse(
                Error{ErrorKind::RateLimited, "too many calls a second", "repeat the call later"});
        response.fields.add("Retry-After", "1");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (target.path() == "/v1/watch") {
        co_await watch(exchange, target);
        co_return;
    }
    HttpResponse response = isWrite ? write(target, exchange.request()) : read(target);
    if (isWrite && response.status == 200 && m_answersToLose > 0
            && target.after(ObjectsPath).starts_with(m_loseAnswersPrefix)) {
        --m_answersToLose;
        ++m_counters["lost_answers"];
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse Platform::read(const Target &target)
{
    const ObjectTable &objects = readable();
    if (target.path() == "/v1/vms")
        return listVms();
    if (target.path() == "/v1/objects") {
        ++m_counters["lists"];
        return jsonResponse(listJson(objects.list(target.text("prefix")), objects.version()));
    }
    if (!target.startsWith(ObjectsPath))
        return notFound(target.path());
    const std::string key = target.after(ObjectsPath);
    const ObjectTable::Object *object = objects.find(key);
    if (object == nullptr)
        return notFound(key);
    HttpResponse response = versionResponse(object->version);
    response.body = object->value;
    return response;
}

HttpResponse Platform::write(const Target &target, transport::HttpRequest &request)
{
    if (!target.startsWith(ObjectsPath))
        return notFound(target.path());
    if (request.body.size() > MaxValueSize) {
        return errorResponse(Error{
                ErrorKind::TooLarge, "the value is larger than 1 MB", "write smaller objects"});
    }
    const std::string key = target.after(ObjectsPath);
    const ObjectTable::Object *current = m_objects.find(key);
    const std::string ifMatch = request.fields.valueOr("If-Match", "");
    if (!ifMatch.empty()) {
        const auto expected = parseVersion(ifMatch);
        if (current == nullptr || !expected || current->version != *expected) {
            ++m_counters["conflicts"];
            return conflict(current);
        }
    } else if (request.fields.valueOr("If-None-Match", "") != "*") {
        return errorResponse(Error{ErrorKind::InvalidInput, "the write has no condition",
                "send If-Match with the version read, or If-None-Match: *"});
    } else if (current != nullptr) {
        ++m_counters["conflicts"];
        return conflict(current);
    }
    const auto version = request.method == "DELETE" ? m_objects.remove(key)
                                                    : m_objects.put(key, std::move(request.body));
    wakeWatches();
    return versionResponse(version);
}

asio::awaitable<void> Platform::watch(HttpServerExchange &exchange, const Target &target)
{
    ++m_counters["watches"];
    const std::string prefix = target.text("prefix");
    const auto after = parseVersion(target.text("after"));
    const TimePoint deadline
            = TimePoint::clock::now() + milliseconds(target.number("timeout_ms", 30000));
    while (m_outage == Outage::Off) {
        if (!after || !m_objects.hasChangesSince(*after)) {
            HttpResponse response = errorResponse(Error{ErrorKind::NotFound,
                    "the changes since that version are no longer known", "list the objects"});
            response.status = 410;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const ObjectTable::Objects changes = m_objects.list(prefix, after);
        if (!changes.empty() || TimePoint::clock::now() >= deadline) {
            HttpResponse response = jsonResponse(listJson(changes, m_objects.version()));
            co_await exchange.respond(std::move(response));
            co_return;
        }
        co_await waitForChange(deadline);
    }
    co_await answerInOutage(exchange);
}

asio::awaitable<void> Platform::waitForChange(TimePoint deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    m_waiting.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiting.erase(&timer);
}

asio::awaitable<void> Platform::answerInOutage(HttpServerExchange &exchange)
{
    ++m_counters["calls_in_outage"];
    while (m_outage == Outage::Hang)
        co_await sleepFor(milliseconds(50));
    if (m_outage == Outage::Refuse) {
        HttpResponse response = errorResponse(
                Error{ErrorKind::Unavailable, "the object API is down", "repeat the call later"});
        co_await exchange.respond(std::move(response));
        co_return;
    }
    exchange.abort();
}

HttpResponse Platform::listVms()
{
    const TimePoint asOf = TimePoint::clock::now() - m_vmLag;
    while (m_vmLists.size() > 1 && m_vmLists[1].since <= asOf)
        m_vmLists.pop_front();
    return jsonResponse(m_vmLists.front().json);
}

void Platform::setVms(std::string text)
{
    m_vmLists.push_back(VmList{TimePoint::clock::now(), std::move(text)});
}

void Platform::wakeWatches()
{
    for (asio::steady_timer *timer : m_waiting)
        timer->cancel();
}

HttpResponse Platform::control(const Target &target, const transport::HttpRequest &request)
{
    const std::string name = target.after(ControlPath);
    if (name == "counters")
        return textResponse(counters());
    if (name == "outage") {
        static const std::map<std::string, Outage> modes = {{"off", Outage::Off},
                {"refuse", Outage::Refuse}, {"hang", Outage::Hang}, {"cut", Outage::Cut}};
        const auto mode = modes.find(target.text("mode", "refuse"));
        if (mode == modes.end())
            return textResponse("error=mode must be off, refuse, hang or cut\n", 400);
        m_outage = mode->second;
        wakeWatches();
    } else if (name == "slow") {
        m_answerDelay = milliseconds(target.number("ms"));
    } else if (name == "lose-answers") {
        m_answersToLose = target.number("count", 1);
        m_loseAnswersPrefix = target.text("prefix");
    } else if (name == "stale") {
        m_staleObjects.reset();
        if (target.number("on", 1) != 0)
            m_staleObjects = m_objects;
    } else if (name == "epoch") {
        m_objects.startEpoch();
        wakeWatches();
    } else if (name == "compact") {
        m_objects.compact();
        wakeWatches();
    } else if (name == "vm-lag") {
        m_vmLag = milliseconds(target.number("ms"));
    } else if (name == "vms") {
        setVms(request.body);
    } else {
        return textResponse("error=unknown control\n", 404);
    }
    return textResponse("ok=1\n");
}

std::string Platform::counters() const
{
    std::string text = "version=" + toText(m_objects.version()) + '\n';
    for (const auto &[name, count] : m_counters)
        text += name + '=' + std::to_string(count) + '\n';
    return text;
}

} // namespace oriolerill::standins
