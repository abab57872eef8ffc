#include "relayagent/internal/engineclient.h"

#include "platform/fleetcodec.h"

#include <algorithm>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

/// The engine is on the same VM and answers within a few milliseconds unless it is down.
constexpr auto CallTimeout = std::chrono::milliseconds(400);

} // namespace

EngineClient::EngineClient(asio::any_io_executor executor, domain::SocketAddress address)
    : m_address(std::move(address))
    , m_client(std::move(executor), {})
{}

asio::awaitable<Expected<transport::HttpResponse>> EngineClient::call(
        std::string method, std::string target, std::string body, domain::TimePoint deadline)
{
    constexpr unsigned Conflict = 409;
    constexpr unsigned PreconditionFailed = 412;
    transport::HttpRequest request;
    request.method = std::move(method);
    request.target = target;
    request.body = std::move(body);
    const auto end = std::min(deadline, domain::TimePoint::clock::now() + CallTimeout);
    auto response = co_await m_client.send(m_address, std::move(request), end);
    if (!response)
        co_return response.error();
    if (response->status >= 200 && response->status < 300)
        co_return response;
    const bool isConflict = response->status == Conflict || response->status == PreconditionFailed;
    co_return Error{isConflict ? ErrorKind::Conflict : ErrorKind::Unavailable,
            "engine answered " + std::to_string(response->status) + " to " + target,
            "the call is repeated after the engine's state was read again"};
}

asio::awaitable<Expected<rollout::EngineState>> EngineClient::readState()
{
    auto answer = co_await call("GET", std::string(platform::reportTarget()), "");
    if (!answer)
        co_return answer.error();
    co_return platform::readEngineState(answer->body);
}

asio::awaitable<Expected<std::set<std::uint32_t>>> EngineClient::listStaged(domain::ModelId model)
{
    auto answer = co_await call("GET", platform::stageListTarget(model), "");
    if (!answer)
        co_return answer.error();
    co_return platform::readHeldPieces(answer->body);
}

asio::awaitable<Expected<std::string>> EngineClient::readStaged(
        const domain::ModelId &model, std::uint32_t piece)
{
    auto answer = co_await call("GET", platform::stageGetTarget(model, piece), "");
    if (!answer)
        co_return answer.error();
    co_return std::move(answer->body);
}

asio::awaitable<Expected<Done>> EngineClient::stage(
        domain::ModelId model, std::uint32_t piece, std::string bytes)
{
    auto answer = co_await call("PUT", platform::stagePutTarget(model, piece), std::move(bytes));
    if (!answer)
        co_return answer.error();
    co_return Done{};
}

asio::awaitable<Expected<EngineClient::OrderAnswer>> EngineClient::orderLoad(
        distribution::WeightsVersion version, std::uint64_t expectedOrders,
        domain::TimePoint deadline)
{
    constexpr unsigned Accepted = 202;
    auto answer = co_await call("POST", std::string(platform::orderTarget()),
            platform::startOrder(version, expectedOrders), deadline);
    if (!answer)
        co_return answer.error();
    co_return answer->status == Accepted ? OrderAnswer::Begun : OrderAnswer::AlreadyInEffect;
}

} // namespace oriolerill::relayagent::internal
