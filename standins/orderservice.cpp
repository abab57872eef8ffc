#include "orderservice.h"

#include "generationtext.h"
#include "program.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using transport::errorResponse;
using transport::HttpResponse;
using transport::HttpServerExchange;

namespace {

constexpr std::string_view ControlPath = "/standin/";
constexpr std::string_view StockPath = "/stock/";

HttpResponse overloadedResponse(bool isOverrun)
{
    HttpResponse response = errorResponse(Error{
            ErrorKind::Overloaded, "the service is full", "send the request later or elsewhere"});
    response.status = isOverrun ? 500 : 503;
    return response;
}

} // namespace

OrderService::OrderService(OrderServiceOptions options)
    : m_options(std::move(options))
    , m_capacity(m_options.capacity)
{}

asio::awaitable<void> OrderService::handle(HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    if (target.startsWith(ControlPath)) {
        HttpResponse response = control(target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const ColdStart::Admission admission = m_capacity.begin();
    if (admission != ColdStart::Admission::Admitted) {
        ++m_counters["refused"];
        HttpResponse response = overloadedResponse(admission == ColdStart::Admission::Overrun);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await serve(exchange, target);
    m_capacity.end();
}

asio::awaitable<void> OrderService::serve(HttpServerExchange &exchange, const Target &target)
{
    HttpResponse response = errorResponse(
            Error{ErrorKind::NotFound, "unknown path", "use /orders or /stock/<item>"});
    if (target.path() == "/orders" && exchange.request().method == "POST")
        response = placeOrder(exchange.request().body);
    else if (target.startsWith(StockPath))
        response = lookUp(target.after(StockPath));
    co_await sleepFor(m_options.serviceTime * m_capacity.slowdownFactor());
    co_await exchange.respond(std::move(response));
}

HttpResponse OrderService::placeOrder(const std::string &body)
{
    json::error_code code;
    const json::value document = json::parse(body, code);
    const json::object *object = code ? nullptr : document.if_object();
    const json::value *order = object != nullptr ? object->if_contains("order") : nullptr;
    if (order == nullptr || !order->is_string())
        return errorResponse(
                Error{ErrorKind::InvalidInput, "malformed order", R"(send {"order":"<id>"})"});
    const std::string id(order->get_string());
    // Counted before the answer is sent, since an order whose answer is lost has run.
    const std::uint64_t execution = ++m_executions[id];
    ++m_counters["orders"];
    if (execution > 1)
        ++m_counters["duplicates"];
    json::object answer;
    answer["order"] = id;
    answer["execution"] = execution;
    answer["service"] = m_options.name;
    return jsonResponse(json::serialize(answer));
}

HttpResponse OrderService::lookUp(const std::string &item)
{
    ++m_counters["lookups"];
    json::object answer;
    answer["item"] = item;
    answer["stock"] = stockOf(item);
    return jsonResponse(json::serialize(answer));
}

HttpResponse OrderService::control(const Target &target)
{
    const std::string name = target.after(ControlPath);
    if (name == "counters")
        return textResponse(counters());
    if (name == "executions")
        return textResponse(executions());
    if (name == "cold")
        m_capacity.makeCold();
    else
        return textResponse("error=unknown control\n", 404);
    return textResponse("ok=1\n");
}

std::string OrderService::executions() const
{
    std::string text;
    for (const auto &[id, count] : m_executions)
        text += id + '=' + std::to_string(count) + '\n';
    return text;
}

std::string OrderService::counters() const
{
    std::string text = "in_flight=" + std::to_string(m_capacity.inFlight())
            + "\noverruns=" + std::to_string(m_capacity.overruns()) + '\n';
    for (const auto &[name, count] : m_counters)
        text += name + '=' + std::to_string(count) + '\n';
    return text;
}

} // namespace oriolerill::standins
