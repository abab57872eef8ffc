#pragma once

#include "domain/digest.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "entry/internal/attemptclient.h"
#include "requests/answerchecksum.h"
#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::entry {

/// Sends a caller its answer: streams a model's answer as it arrives, and buffers other answers
/// until they are complete, so that a failed attempt can be retried without the caller noticing.
class CallerAnswer : public IAttemptSink
{
public:
    CallerAnswer(transport::HttpServerExchange &exchange, domain::RequestId id, bool isStreamed);

    boost::asio::awaitable<domain::Expected<domain::Done>> head(protocol::AnswerHead head) override;
    boost::asio::awaitable<domain::Expected<domain::Done>> data(std::string data) override;

    /// Discards the data of a failed attempt, unless the answer has started.
    void restart();
    /// Ends a complete answer.
    boost::asio::awaitable<domain::Expected<domain::Done>> finish();
    /// Sends an error as the final answer; only before any data was sent.
    boost::asio::awaitable<void> refuse(
            protocol::Outcome outcome, const domain::Error &error, domain::Duration retryAfter);
    /// Closes the connection, so that the caller detects that the answer is incomplete.
    void abort() { m_exchange.abort(); }

    bool hasSentData() const { return m_isStarted; }
    /// Bytes of the answer that were sent or are buffered.
    std::uint64_t sentBytes() const { return m_received.checksum.length(); }
    /// Digest of the weights that produce the answer; none before the head and for plain services.
    domain::Digest digest() const;
    /// Time of the first byte of the answer that was sent or is buffered.
    std::optional<domain::TimePoint> firstByteAt() const { return m_received.firstByteAt; }

private:
    /// What was received of one answer. A failed attempt's is replaced as a whole, so that nothing
    /// of it is delivered with the next attempt's answer.
    struct Received
    {
        protocol::AnswerHead head;
        std::string buffer;
        requests::AnswerChecksum checksum;
        std::optional<domain::TimePoint> firstByteAt;
    };

    boost::asio::awaitable<domain::Expected<domain::Done>> startStream();
    transport::HttpFields fields(bool isStreamed) const;

    transport::HttpServerExchange &m_exchange;
    domain::RequestId m_id;
    bool m_isStreamed;
    bool m_isStarted = false;
    Received m_received;
};

} // namespace oriolerill::entry
