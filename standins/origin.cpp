#include "origin.h"

#include "program.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using transport::errorResponse;
using transport::HttpResponse;
using transport::HttpServerExchange;

namespace {

// Small pieces keep the rate steady when several transfers share it.
constexpr std::uint64_t PieceSize = 8U << 10U;
constexpr std::string_view ControlPath = "/standin/";
constexpr std::string_view ManifestsPath = "/v1/manifests/";
constexpr std::string_view WeightsPath = "/v1/weights/";

struct Range
{
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

/// Parses "bytes=a-b"; an empty text means the full size.
std::optional<Range> parseRange(const std::string &text, std::uint64_t size)
{
    if (text.empty())
        return Range{0, size};
    constexpr std::string_view Prefix = "bytes=";
    if (!text.starts_with(Prefix))
        return std::nullopt;
    Range range{0, size};
    const char *end = text.data() + text.size();
    const auto first = std::from_chars(text.data() + Prefix.size(), end, range.begin);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != '-')
        return std::nullopt;
    std::uint64_t last = 0;
    if (std::from_chars(first.ptr + 1, end, last).ec == std::errc())
        range.end = std::min(last + 1, size);
    if (range.begin >= range.end)
        return std::nullopt;
    return range;
}

HttpResponse notFound()
{
    return errorResponse(Error{ErrorKind::NotFound, "the origin has no weights with this digest",
            "publish them or check the digest"});
}

} // namespace

Origin::Origin(std::uint64_t bytesPerSecond)
    : m_pacer(bytesPerSecond)
{}

std::string Origin::publish(const WeightsOptions &options)
{
    WeightsSource source(options);
    std::string digest = source.manifestDigest();
    m_published.emplace(digest, Published{std::move(source)});
    return digest;
}

asio::awaitable<void> Origin::handle(HttpServerExchange &exchange)
{
    const Target target(exchange.request().target);
    if (target.startsWith(ControlPath)) {
        HttpResponse response = control(target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (m_isDown) {
        exchange.abort();
        co_return;
    }
    const bool isManifest = target.startsWith(ManifestsPath);
    const auto weights = m_published.find(target.after(isManifest ? ManifestsPath : WeightsPath));
    if (weights == m_published.end()) {
        HttpResponse response = notFound();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (isManifest) {
        HttpResponse response = jsonResponse(weights->second.source.manifest());
        co_await m_pacer.take(response.body.size());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await sendRange(exchange, weights->second);
}

asio::awaitable<void> Origin::sendRange(HttpServerExchange &exchange, Published &weights)
{
    const std::uint64_t size = weights.source.options().size;
    const auto range = parseRange(exchange.request().fields.valueOr("Range", ""), size);
    if (!range) {
        HttpResponse response = errorResponse(
                Error{ErrorKind::InvalidInput, "malformed range", "ask for bytes=<first>-<last>"});
        response.status = 416;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++weights.requests;
    const bool isCorrupted = m_rangesToCorrupt > 0;
    if (isCorrupted) {
        --m_rangesToCorrupt;
        ++m_corrupted;
    }
    transport::HttpResponseHead head;
    head.status = 206;
    head.fields.add("Content-Type", "application/octet-stream");
    head.fields.add("Content-Range",
            "bytes " + std::to_string(range->begin) + '-' + std::to_string(range->end - 1) + '/'
                    + std::to_string(size));
    auto sent = co_await exchange.start(std::move(head));
    for (std::uint64_t at = range->begin; at < range->end && sent;) {
        const std::uint64_t end = std::min(range->end, at + PieceSize);
        std::string piece = weights.source.bytes(at, end);
        if (isCorrupted && at == range->begin)
            piece[piece.size() / 2] ^= 1;
        co_await m_pacer.take(piece.size());
        while (m_isStalled && !m_isDown)
            co_await sleepFor(std::chrono::milliseconds(20));
        if (m_isDown) {
            exchange.abort();
            co_return;
        }
        weights.bytesSent += piece.size();
        sent = co_await exchange.write(std::move(piece));
        at = end;
    }
    transport::HttpFields none;
    if (sent)
        co_await exchange.finish(std::move(none));
}

HttpResponse Origin::control(const Target &target)
{
    const std::string name = target.after(ControlPath);
    if (name == "counters")
        return textResponse(counters());
    if (name == "publish") {
        WeightsOptions options;
        options.model = target.text("model", options.model);
        options.version = target.text("version", options.version);
        options.size = static_cast<std::uint64_t>(target.number("size", 1U << 20U));
        options.chunkSize = static_cast<std::uint64_t>(
                target.number("chunk", static_cast<std::int64_t>(options.chunkSize)));
        options.seed = static_cast<std::uint64_t>(target.number("seed", 1));
        return textResponse("manifest=" + publish(options) + '\n');
    }
    if (name == "corrupt")
        m_rangesToCorrupt = target.number("count", 1);
    else if (name == "stall")
        m_isStalled = target.number("on", 1) != 0;
    else if (name == "down")
        m_isDown = target.number("on", 1) != 0;
    else if (name == "rate")
        m_pacer.setRate(static_cast<std::uint64_t>(target.number("bytes")));
    else
        return textResponse("error=unknown control\n", 404);
    return textResponse("ok=1\n");
}

std::string Origin::counters() const
{
    std::uint64_t total = 0;
    std::string text;
    for (const auto &[digest, weights] : m_published) {
        total += weights.bytesSent;
        const double copies = static_cast<double>(weights.bytesSent)
                / static_cast<double>(std::max<std::uint64_t>(weights.source.options().size, 1));
        text += "manifest=" + digest + " bytes=" + std::to_string(weights.bytesSent) + " requests="
                + std::to_string(weights.requests) + " copies=" + std::to_string(copies) + '\n';
    }
    return text + "bytes=" + std::to_string(total) + " corrupted=" + std::to_string(m_corrupted)
            + '\n';
}

} // namespace oriolerill::standins
