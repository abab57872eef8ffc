#include "relayagent/internal/peerexchange.h"

#include "transport/percentencoding.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::PieceManifest;
using distribution::UploadQueue;
using distribution::UploadRequest;
using domain::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// How long a request waits for a piece that is not held yet.
constexpr auto PieceWaitTimeout = milliseconds(600);

struct PeerRequest
{
    distribution::WeightsVersion version;
    /// None when the manifest is requested.
    std::optional<std::uint32_t> piece;
};

std::string targetOf(const distribution::WeightsVersion &version, const std::string &resource)
{
    return "/v1/weights/" + transport::percentEncoded(version.model.value()) + '/'
            + std::to_string(version.number) + '/' + resource;
}

std::optional<PeerRequest> parseTarget(const std::string &target)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, target, [](char c) { return c == '/'; });
    constexpr std::size_t Parts = 6;
    if (parts.size() != Parts || parts[1] != "v1" || parts[2] != "weights")
        return std::nullopt;
    PeerRequest request;
    request.version.model = domain::ModelId(transport::percentDecoded(parts[3]));
    request.version.number = std::strtoull(parts[4].c_str(), nullptr, 10);
    if (parts[5] != "manifest") {
        const unsigned long number = std::strtoul(parts[5].c_str(), nullptr, 10);
        request.piece = static_cast<std::uint32_t>(number);
    }
    return request;
}

/// Format of a manifest between agents: one digest per line.
std::string formatManifest(const PieceManifest &manifest)
{
    std::string text;
    for (const domain::Digest &piece : manifest.pieces)
        text += piece.hex() + '\n';
    return text;
}

} // namespace

PeerExchange::PeerExchange(asio::io_context &context, const FleetView &fleet,
        observability::Metrics &metrics, distribution::UploadPacer pacer, Transfers transfers)
    : m_context(context)
    , m_fleet(fleet)
    , m_metrics(metrics)
    , m_pacer(pacer)
    , m_transfers(std::move(transfers))
{}

std::string PeerExchange::manifestTarget(const Version &version)
{
    return targetOf(version, "manifest");
}

std::string PeerExchange::pieceTarget(const Version &version, std::uint32_t piece)
{
    return targetOf(version, std::to_string(piece));
}

std::optional<PieceManifest> PeerExchange::readManifest(
        const Version &version, const std::string &text)
{
    PieceManifest manifest{version, {}};
    std::vector<std::string> lines;
    boost::algorithm::split(lines, text, [](char c) { return c == '\n'; });
    for (const std::string &line : lines) {
        const auto digest = domain::Digest::fromHex(line);
        if (!digest && !line.empty())
            return std::nullopt;
        if (digest)
            manifest.pieces.push_back(*digest);
    }
    return manifest.pieces.empty() ? std::nullopt : std::optional(manifest);
}

asio::awaitable<void> PeerExchange::answer(transport::HttpServerExchange &exchange)
{
    transport::HttpResponse response;
    response.status = 404;
    const auto wanted = parseTarget(exchange.request().target);
    if (wanted && wanted->piece) {
        response = co_await sendPiece(wanted->version, *wanted->piece, exchange.remoteHost());
    } else if (wanted) {
        const Transfer transfer = co_await m_transfers.open(wanted->version);
        if (transfer) {
            response.status = 200;
            response.body = formatManifest(transfer->manifest());
        }
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<transport::HttpResponse> PeerExchange::sendPiece(
        Version version, std::uint32_t piece, std::string receiver)
{
    transport::HttpResponse response;
    response.status = 404;
    const TimePoint deadline = TimePoint::clock::now() + PieceWaitTimeout;
    co_await m_transfers.open(version);
    const UploadRequest request{version, piece, isInOtherDataCentre(receiver)};
    const UploadQueue::Ticket ticket = m_queue.add(request);
    asio::steady_timer timer(m_context);
    m_timers[ticket] = &timer;
    for (;;) {
        const TimePoint now = TimePoint::clock::now();
        const bool isNext = nextTicket() == ticket;
        const TimePoint sendAt = m_pacer.nextAt(now);
        if (isNext && sendAt <= now) {
            const auto bytes = heldPiece(request);
            m_pacer.onBegin(domain::Bytes(bytes->size()), now);
            response.status = 200;
            response.body = *bytes;
            m_metrics.increment("oriolerill_agent_served_bytes_total", {}, bytes->size());
            break;
        }
        if (now >= deadline)
            break;
        // Cancelled early when this request becomes the next one.
        timer.expires_at(isNext ? std::min(sendAt, deadline) : deadline);
        co_await timer.async_wait(UseTuple);
    }
    m_timers.erase(ticket);
    m_queue.remove(ticket);
    wakeNext();
    co_return response;
}

std::shared_ptr<const std::string> PeerExchange::heldPiece(const UploadRequest &request) const
{
    const Transfer transfer = m_transfers.find(request.version);
    return transfer ? transfer->piece(request.piece) : nullptr;
}

std::optional<UploadQueue::Ticket> PeerExchange::nextTicket() const
{
    return m_queue.next(
            [this](const UploadRequest &request) { return heldPiece(request) != nullptr; });
}

void PeerExchange::wakeNext()
{
    const auto next = nextTicket();
    if (!next)
        return;
    const auto timer = m_timers.find(*next);
    if (timer != m_timers.end())
        timer->second->cancel();
}

bool PeerExchange::isInOtherDataCentre(const std::string &host) const
{
    const auto &members = m_fleet.members();
    return std::any_of(members.begin(), members.end(), [&](const auto &member) {
        return member.host == host && member.dataCentre != m_fleet.self().dataCentre;
    });
}

} // namespace oriolerill::relayagent::internal
