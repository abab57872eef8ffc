#pragma once

#include "domain/socketaddress.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace oriolerill::standins {

/// The result of one call from the view of a caller.
struct CallerAnswer
{
    enum class Kind {
        /// A complete answer.
        Complete,
        /// A refusal with the outcome "not run".
        NotRun,
        /// An answer with the outcome "unknown".
        Unknown,
        /// The connection ended before the head of an answer.
        NoAnswer,
        /// The connection ended in the middle of an answer.
        Cut,
        /// The answer was not complete at the deadline.
        Timeout,
        /// An answer without an outcome.
        Unnamed,
    };

    Kind kind = Kind::NoAnswer;
    unsigned status = 0;
    std::string digest;
    std::string body;
    domain::Duration retryAfter = {};
    bool hasRetryAfter = false;
};

/// Sends requests like a caller's program and classifies the answers.
class Caller
{
public:
    /// With isDirect, the peers are endpoints, whose answers carry no outcome.
    Caller(transport::HttpClient &client, bool isDirect)
        : m_client(client)
        , m_isDirect(isDirect)
    {}

    boost::asio::awaitable<CallerAnswer> call(
            domain::SocketAddress peer, transport::HttpRequest request, domain::TimePoint deadline);

private:
    CallerAnswer classify(const transport::HttpResponseHead &head) const;

    transport::HttpClient &m_client;
    bool m_isDirect;
};

} // namespace oriolerill::standins
