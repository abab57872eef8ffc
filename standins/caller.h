#pragma once

#include "domain/socketaddress.h"
#include "transport/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace oriolerill::standins {

/// One answer as a caller sees it.
struct CallerAnswer
{
    enum class Kind {
        /// A whole answer.
        Complete,
        /// A refusal that says that the request did not run.
        NotRun,
        /// An answer that says that the outcome is not known.
        Unknown,
        /// The connection ended before the head of an answer.
        NoAnswer,
        /// The connection ended in the middle of an answer.
        Cut,
        /// Nothing came before the deadline.
        Timeout,
        /// An error answer that does not name the outcome.
        Unnamed,
    };

    Kind kind = Kind::NoAnswer;
    unsigned status = 0;
    std::string digest;
    std::string body;
    domain::Duration retryAfter = {};
    bool hasRetryAfter = false;
};

/// Sends requests like a caller's program and classifies what comes back.
class Caller
{
public:
    /// With isDirect the peers are endpoints, which do not name outcomes.
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
