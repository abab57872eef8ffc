#include "caller.h"

#include <charconv>
#include <utility>

namespace oriolerill::standins {

namespace asio = boost::asio;
using domain::ErrorKind;

namespace {

CallerAnswer::Kind failureKind(const domain::Error &error, CallerAnswer::Kind otherwise)
{
    return error.kind == ErrorKind::Timeout ? CallerAnswer::Kind::Timeout : otherwise;
}

CallerAnswer::Kind directKind(unsigned status)
{
    constexpr unsigned FirstServerError = 500;
    return status < FirstServerError ? CallerAnswer::Kind::Complete : CallerAnswer::Kind::NotRun;
}

} // namespace

asio::awaitable<CallerAnswer> Caller::call(
        domain::SocketAddress peer, transport::HttpRequest request, domain::TimePoint deadline)
{
    constexpr std::size_t PieceSize = 16U << 10U;
    CallerAnswer answer;
    auto exchange = co_await m_client.open(std::move(peer), std::move(request), deadline);
    if (!exchange) {
        answer.kind = failureKind(exchange.error(), CallerAnswer::Kind::NoAnswer);
        co_return answer;
    }
    answer = classify((*exchange)->head());
    for (;;) {
        auto piece = co_await (*exchange)->read(PieceSize, deadline);
        if (!piece) {
            answer.kind = failureKind(piece.error(), CallerAnswer::Kind::Cut);
            co_return answer;
        }
        if (piece->empty())
            co_return answer;
        answer.body += *piece;
    }
}

CallerAnswer Caller::classify(const transport::HttpResponseHead &head) const
{
    CallerAnswer answer;
    answer.status = head.status;
    answer.digest = head.fields.valueOr(
            "X-Oriolerill-Digest", head.fields.valueOr("X-Weights-Digest", ""));
    const std::string retryAfter = head.fields.valueOr("Retry-After", "");
    int seconds = 0;
    std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds);
    answer.hasRetryAfter = !retryAfter.empty();
    answer.retryAfter = std::chrono::seconds(seconds);

    const std::string outcome = head.fields.valueOr("X-Oriolerill-Outcome", "");
    if (outcome == "answered")
        answer.kind = CallerAnswer::Kind::Complete;
    else if (outcome == "not-run")
        answer.kind = CallerAnswer::Kind::NotRun;
    else if (outcome == "unknown")
        answer.kind = CallerAnswer::Kind::Unknown;
    else
        answer.kind = m_isDirect ? directKind(head.status) : CallerAnswer::Kind::Unnamed;
    return answer;
}

} // namespace oriolerill::standins
