#include "relayagent/internal/manifestfinder.h"

#include "domain/rendezvous.h"
#include "platform/fleetcodec.h"
#include "relayagent/internal/peerexchange.h"

#include <algorithm>
#include <utility>

namespace oriolerill::relayagent::internal {

namespace asio = boost::asio;
using distribution::PieceManifest;
using distribution::WeightsVersion;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr auto ManifestTimeout = milliseconds(800);
/// Delay after which the other VMs of a data centre request the manifest from the origin too.
constexpr auto OriginFallbackDelay = milliseconds(700);

} // namespace

ManifestFinder::ManifestFinder(const FleetView &fleet, transport::HttpClient &peers,
        transport::HttpClient &origin, std::uint16_t peerPort)
    : m_fleet(fleet)
    , m_peers(peers)
    , m_origin(origin)
    , m_peerPort(peerPort)
{}

asio::awaitable<Expected<PieceManifest>> ManifestFinder::find(WeightsVersion version)
{
    const std::vector<std::string> hosts = originReaders(version);
    Error lastError{ErrorKind::NotFound, "the VMs that fetch from the origin have no manifest yet",
            "the manifest is requested again"};
    if (isOriginAsked(version, hosts, TimePoint::clock::now())) {
        auto manifest = co_await fetchFromOrigin(version);
        if (manifest) {
            m_firstTriedAt.erase(version);
            co_return manifest;
        }
        lastError = manifest.error();
    }
    auto manifest = co_await fetchFromPeers(version, hosts, std::move(lastError));
    if (manifest)
        m_firstTriedAt.erase(version);
    co_return manifest;
}

bool ManifestFinder::isOriginAsked(
        const WeightsVersion &version, const std::vector<std::string> &readers, TimePoint now)
{
    const TimePoint firstTriedAt = m_firstTriedAt.try_emplace(version, now).first->second;
    return std::find(readers.begin(), readers.end(), m_fleet.self().host) != readers.end()
            || now - firstTriedAt > OriginFallbackDelay;
}

bool ManifestFinder::mayFindNewest(const domain::ModelId &model, TimePoint now)
{
    const WeightsVersion newest{model, 0};
    return isOriginAsked(newest, originReaders(newest), now);
}

asio::awaitable<Expected<WeightsVersion>> ManifestFinder::findNewest(domain::ModelId model)
{
    const auto manifest = co_await readFromOrigin(platform::newestManifestTarget(model));
    if (!manifest)
        co_return manifest.error();
    if (manifest->version.model != model || manifest->version.number == 0) {
        co_return Error{ErrorKind::Corrupted, "the origin sent the manifest of another model",
                "the manifest is requested again"};
    }
    m_firstTriedAt.erase({model, 0});
    co_return manifest->version;
}

asio::awaitable<Expected<PieceManifest>> ManifestFinder::find(
        WeightsVersion version, bool mayAskOrigin, std::vector<std::string> hosts)
{
    Error lastError{ErrorKind::NotFound, "no VM that can be reached has the manifest yet",
            "the manifest is requested again"};
    if (mayAskOrigin) {
        auto manifest = co_await fetchFromOrigin(version);
        if (manifest)
            co_return manifest;
        lastError = manifest.error();
    }
    co_return co_await fetchFromPeers(version, hosts, std::move(lastError));
}

asio::awaitable<Expected<PieceManifest>> ManifestFinder::fetchFromPeers(
        const WeightsVersion &version, const std::vector<std::string> &hosts, Error lastError)
{
    for (const std::string &host : hosts) {
        if (host == m_fleet.self().host)
            continue;
        transport::HttpRequest request;
        request.target = PeerExchange::manifestTarget(version);
        const domain::SocketAddress address{host, m_peerPort};
        auto response = co_await m_peers.send(
                address, std::move(request), TimePoint::clock::now() + ManifestTimeout);
        if (!response || response->status != 200)
            continue;
        if (auto manifest = PeerExchange::readManifest(version, response->body))
            co_return std::move(*manifest);
    }
    co_return lastError;
}

asio::awaitable<Expected<PieceManifest>> ManifestFinder::fetchFromOrigin(WeightsVersion version)
{
    auto manifest = co_await readFromOrigin(platform::manifestTarget(version));
    if (!manifest || manifest->version == version)
        co_return manifest;
    co_return Error{ErrorKind::Corrupted, "the origin sent the manifest of another version",
            "the manifest is requested again"};
}

asio::awaitable<Expected<PieceManifest>> ManifestFinder::readFromOrigin(std::string target)
{
    const auto origin = m_fleet.origin();
    if (!origin)
        co_return Error{ErrorKind::Unavailable, "the origin of weights is unknown",
                "wait for the configuration"};
    transport::HttpRequest request;
    request.target = std::move(target);
    request.fields.add("Connection", "close");
    auto response = co_await m_origin.send(
            *origin, std::move(request), TimePoint::clock::now() + ManifestTimeout);
    if (!response) {
        m_hasOriginFailed = true;
        co_return response.error();
    }
    if (response->status != 200) {
        co_return Error{ErrorKind::NotFound,
                "the origin answered " + std::to_string(response->status),
                "the manifest is requested again"};
    }
    auto manifest = platform::readManifest(response->body);
    if (manifest)
        co_return manifest;
    co_return Error{ErrorKind::Corrupted, "the origin sent a malformed manifest",
            "the manifest is requested again"};
}

std::vector<std::string> ManifestFinder::originReaders(const WeightsVersion &version) const
{
    constexpr std::size_t OriginReaders = 2;
    const std::string key
            = "manifest/" + version.model.value() + '/' + std::to_string(version.number);
    std::vector<std::string> ranked = domain::rendezvousRank(key, m_fleet.localHosts());
    ranked.resize(std::min(ranked.size(), OriginReaders));
    return ranked;
}

} // namespace oriolerill::relayagent::internal
