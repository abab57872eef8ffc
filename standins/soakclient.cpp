#include "soakclient.h"

#include "program.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sstream>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using domain::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Time that the clients of the platform allow for a connection.
constexpr auto ConnectTimeout = 1s;
/// Added to the deadline, so that a late answer is still observed.
constexpr auto LateAnswerTime = 1s;
constexpr auto ProbeInterval = 60ms;

std::string fieldOf(const http::response<http::string_body> &response, const char *name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

/// Body in three chunks at most.
std::string inChunks(const std::string &body)
{
    const std::size_t size = body.size() / 3 + 1;
    std::ostringstream text;
    for (std::size_t at = 0; at < body.size(); at += size) {
        const std::string chunk = body.substr(at, size);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

} // namespace

SoakClient::SoakClient(SoakJournal &journal, SoakChecks &checks, std::string name,
        std::uint64_t seed, Choose choose, bool isConfigProbe)
    : m_journal(journal)
    , m_checks(checks)
    , m_name(std::move(name))
    , m_random(seed)
    , m_choose(std::move(choose))
    , m_isConfigProbe(isConfigProbe)
{}

asio::awaitable<void> SoakClient::run(TimePoint until)
{
    while (TimePoint::clock::now() < until) {
        bool isOpen = m_stream.has_value();
        if (!isOpen)
            isOpen = co_await connect();
        if (isOpen)
            co_await call();
        const std::chrono::milliseconds pause(std::uniform_int_distribution<int>(5, 60)(m_random));
        co_await sleepFor(m_isConfigProbe ? ProbeInterval : pause);
    }
    m_stream.reset();
}

asio::awaitable<bool> SoakClient::connect()
{
    m_entry = m_choose();
    if (m_entry == nullptr)
        co_return false;
    m_incarnation = m_entry->process->incarnation();
    m_buffer.clear();
    m_stream.emplace(co_await asio::this_coro::executor);
    m_stream->expires_after(ConnectTimeout);
    const asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address(m_entry->caller.host), m_entry->caller.port);
    auto [code] = co_await m_stream->async_connect(endpoint, UseTuple);
    if (code) {
        m_stream.reset();
        co_return false;
    }
    boost::system::error_code option;
    m_stream->socket().set_option(asio::ip::tcp::no_delay(true), option);
    co_return true;
}

SoakAttempt SoakClient::draw()
{
    SoakAttempt attempt;
    attempt.id = m_name + '-' + std::to_string(++m_count);
    attempt.entry = m_entry->process->name();
    attempt.incarnation = m_incarnation;
    constexpr std::uint64_t Kinds = 10;
    const std::uint64_t draw = m_random() % Kinds;
    if (m_isConfigProbe) {
        attempt.kind = SoakKind::ConfigProbe;
        // Mostly the newest version, sometimes the previous one.
        attempt.configVersion = draw < 3 ? m_checks.previousConfig() : m_checks.newestConfig();
        attempt.target = "/c" + std::to_string(attempt.configVersion) + "/x";
    } else if (draw < 4) {
        attempt.kind = SoakKind::Read;
        attempt.target = "/read/" + attempt.id + "?q=1";
    } else if (draw < 6) {
        attempt.kind = SoakKind::Order;
        attempt.method = "POST";
        attempt.target = "/order/" + attempt.id;
        constexpr std::uint64_t MaxBodySize = 60000;
        // Just below max_body_bytes of the configuration.
        constexpr std::uint64_t MaxLargeBodySize = 1000000;
        constexpr std::uint64_t OneLargeIn = 20;
        const bool isLarge = m_random() % OneLargeIn == 0;
        attempt.body = "GET /read/inner HTTP/1.1\r\nAttempt-Id: inner\r\n\r\n" + attempt.id;
        attempt.body.append(m_random() % (isLarge ? MaxLargeBodySize : MaxBodySize), 'b');
    } else {
        const bool isResumable = draw < 8;
        attempt.kind = isResumable ? SoakKind::ResumableStream : SoakKind::Stream;
        attempt.method = "POST";
        attempt.target = (isResumable ? "/resume/" : "/talk/") + attempt.id;
        attempt.body = attempt.id;
        constexpr std::uint64_t OneChunkedIn = 3;
        attempt.isBodyChunked = m_random() % OneChunkedIn == 0;
        constexpr std::uint64_t MaxChunkedSize = 4000;
        if (attempt.isBodyChunked)
            attempt.body.append(m_random() % MaxChunkedSize, 'b');
        attempt.parts = m_checks.poison().drawParts(attempt, m_random);
    }
    if (!m_isConfigProbe)
        m_checks.poison().drawRequest(attempt, m_random);
    return attempt;
}

std::string SoakClient::requestText(const SoakAttempt &attempt) const
{
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.timeLimit());
    std::string text = attempt.method + ' ' + attempt.target
            + " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + attempt.id
            + "\r\nDeadline-Ms: " + std::to_string(limit.count()) + "\r\n";
    if (attempt.isStream())
        text += "Key: key-of-shop\r\nModel: m\r\nToken-Usage: 100,60\r\nPrompt-Prefix: "
                + attempt.parts + "\r\n";
    if (attempt.isBodyChunked)
        return text + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(attempt.body);
    if (attempt.method == "POST")
        text += "Content-Length: " + std::to_string(attempt.body.size()) + "\r\n";
    return text + "\r\n" + attempt.body;
}

asio::awaitable<void> SoakClient::call()
{
    const auto attempt = m_checks.begin(draw());
    std::string text = requestText(*attempt);
    boost::system::error_code availability;
    if (m_buffer.size() > 0 || m_stream->socket().available(availability) > 0) {
        // An entry may close an idle connection with a refusal; a success without a request is a
        // violation.
        std::string early(256, '\0');
        auto [code, size] = co_await m_stream->async_read_some(asio::buffer(early), UseTuple);
        early.resize(code ? 0 : size);
        if (m_buffer.size() > 0 || early.find(" 2") == 8)
            m_journal.violation("MIXED", "bytes with no request waiting before " + attempt->id);
        m_stream.reset();
        co_return;
    }
    m_stream->expires_after(attempt->timeLimit() + LateAnswerTime);
    attempt->sent = TimePoint::clock::now();
    std::size_t sentBytes = 0;
    if (attempt->isBodyChunked) {
        sentBytes = m_random() % text.size();
        co_await asio::async_write(*m_stream, asio::buffer(text, sentBytes), UseTuple);
        const std::chrono::milliseconds pause(std::uniform_int_distribution<int>(1, 20)(m_random));
        co_await sleepFor(pause);
    }
    co_await asio::async_write(*m_stream, asio::buffer(text) + sentBytes, UseTuple);
    attempt->sent = TimePoint::clock::now();
    http::response_parser<http::string_body> parser;
    constexpr std::uint64_t MaxAnswerSize = 8U << 20U;
    parser.body_limit(MaxAnswerSize);
    auto [code, size] = co_await http::async_read(*m_stream, m_buffer, parser, UseTuple);
    if (code) {
        if (code.category() == http::make_error_code(http::error::end_of_stream).category()
                && code != http::error::end_of_stream && code != http::error::partial_message) {
            m_journal.violation(
                    "MIXED", "no answer in the protocol: " + code.message() + ", " + attempt->id);
        }
        const bool isSameIncarnation = m_entry->process->incarnation() == m_incarnation;
        m_checks.onBroken(*attempt,
                isSameIncarnation ? m_entry->process->stopRequestedAt() : TimePoint(),
                code.message());
        m_stream.reset();
        co_return;
    }
    if (m_entry->process->incarnation() == m_incarnation
            && m_entry->process->stopRequestedAt() != TimePoint())
        m_checks.recordInForce("LOST");
    const auto response = parser.release();
    m_checks.onAnswer(*attempt, response.result_int(), fieldOf(response, "Attempt-Id"),
            fieldOf(response, "Server-Signature"), response.body());
    if (!response.keep_alive())
        m_stream.reset();
}

} // namespace oriolerill::standins
