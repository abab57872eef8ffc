#include "relay/internal/configurationexchange.h"

#include "protocol/control.pb.h"

#include <utility>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using objectstore::ObjectList;

namespace {

constexpr const char *Target = "/v1/configuration";

} // namespace

ConfigurationExchange::ConfigurationExchange(asio::any_io_executor executor)
    : m_client(std::move(executor), {})
{}

asio::awaitable<void> ConfigurationExchange::answer(
        transport::HttpServerExchange &exchange, const ObjectList &list)
{
    transport::HttpResponse response;
    response.status = 404;
    const bool isKnown = list.storeVersion.revision > 0;
    if (exchange.request().target == Target && isKnown) {
        protocol::StoreChanges message;
        message.set_up_to(list.storeVersion.revision);
        for (const objectstore::StoredObject &object : list.objects) {
            protocol::ChangedObject &changed = *message.add_objects();
            changed.set_key(object.key);
            changed.set_revision(object.version.revision);
            changed.set_value(object.value);
        }
        response.status = 200;
        response.body = message.SerializeAsString();
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<Expected<ObjectList>> ConfigurationExchange::fetch(
        domain::SocketAddress source, domain::TimePoint deadline)
{
    transport::HttpRequest request;
    request.method = "GET";
    request.target = Target;
    auto response = co_await m_client.send(source, std::move(request), deadline);
    if (!response)
        co_return response.error();
    protocol::StoreChanges message;
    if (response->status != 200 || !message.ParseFromString(response->body)) {
        co_return Error{ErrorKind::Unavailable,
                "entry " + source.toString() + " has no configuration to give",
                "the store is read instead"};
    }
    ObjectList list;
    list.storeVersion = {0, message.up_to()};
    for (const protocol::ChangedObject &object : message.objects())
        list.objects.push_back({object.key(), object.value(), {0, object.revision()}, false});
    co_return list;
}

} // namespace oriolerill::relay::internal
