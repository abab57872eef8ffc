#include "weightsloader.h"

#include "program.h"

#include "domain/digest.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <utility>
#include <vector>

namespace oriolerill::standins {

namespace asio = boost::asio;
using domain::Expected;
using namespace std::chrono_literals;

namespace {

/// Digests of the chunks; empty if the text is not a manifest.
std::vector<std::string> chunkDigests(const std::string &manifest)
{
    std::vector<std::string> digests;
    boost::json::error_code code;
    const boost::json::value document = boost::json::parse(manifest, code);
    const auto *root = code ? nullptr : document.if_object();
    const auto *chunks = root != nullptr ? root->if_contains("chunks") : nullptr;
    if (chunks == nullptr || !chunks->is_array())
        return digests;
    for (const auto &chunk : chunks->get_array())
        digests.push_back(boost::json::value_to<std::string>(chunk.at("digest")));
    return digests;
}

} // namespace

asio::awaitable<WeightsLoader::Result> WeightsLoader::load(
        std::string manifestDigest, domain::SocketAddress source)
{
    const Expected<std::string> manifest
            = co_await fetch(source, "/v1/manifests/" + manifestDigest);
    if (!manifest)
        co_return Result::Failed;
    bool isBad = domain::Digest::of(*manifest).hex() != manifestDigest;
    const std::vector<std::string> digests = chunkDigests(*manifest);
    for (const std::string &digest : digests) {
        const Expected<std::string> chunk = co_await fetch(source, "/v1/chunks/" + digest);
        if (!chunk)
            co_return Result::Failed;
        m_bytesLoaded += chunk->size();
        isBad |= domain::Digest::of(*chunk).hex() != digest;
    }
    co_return isBad || digests.empty() ? Result::Bad : Result::Loaded;
}

asio::awaitable<Expected<std::string>> WeightsLoader::fetch(
        domain::SocketAddress source, std::string target)
{
    constexpr int MaxTries = 10;
    constexpr auto RetryDelay = 100ms;
    for (int attempt = 1;; ++attempt) {
        transport::HttpRequest request;
        request.target = target;
        const auto deadline = domain::TimePoint::clock::now() + 5s;
        auto response = co_await m_client.send(source, std::move(request), deadline);
        if (response && response->status == 200)
            co_return std::move(response->body);
        if (attempt == MaxTries) {
            if (!response)
                co_return response.error();
            co_return domain::Error{domain::ErrorKind::Unavailable, "the source has no " + target,
                    "check the source of the load order"};
        }
        co_await sleepFor(RetryDelay);
    }
}

} // namespace oriolerill::standins
