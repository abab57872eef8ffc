#include "entry/internal/attemptclient.h"

#include "entry/internal/attemptlink.h"
#include "requests/answerchecksum.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolerill::entry {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;

namespace {

std::uint32_t remainingMilliseconds(TimePoint deadline)
{
    using std::chrono::milliseconds;
    const auto left
            = std::chrono::duration_cast<milliseconds>(deadline - TimePoint::clock::now()).count();
    return static_cast<std::uint32_t>(std::max<long long>(left, 0));
}

domain::ErrorKind kindOf(const std::string &text)
{
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        if (toString(static_cast<ErrorKind>(i)) == text)
            return static_cast<ErrorKind>(i);
    }
    return ErrorKind::Internal;
}

/// State of one attempt while it is carried.
class AttemptCarrier
{
public:
    AttemptCarrier(asio::any_io_executor executor, const asio::any_io_executor &strand,
            transport::HttpClient &client, const AttemptClientOptions &options,
            AttemptTarget target, protocol::Attempt attempt, TimePoint deadline, IAttemptSink &sink)
        : m_executor(std::move(executor))
        , m_client(client)
        , m_options(options)
        , m_target(std::move(target))
        , m_attempt(std::move(attempt))
        , m_deadline(deadline)
        , m_sink(sink)
        , m_events(std::make_shared<LinkEvents>(strand))
    {}
    ~AttemptCarrier() { m_events->abandon(); }
    AttemptCarrier(const AttemptCarrier &) = delete;
    AttemptCarrier &operator=(const AttemptCarrier &) = delete;

    asio::awaitable<AttemptResult> run();

private:
    struct Link
    {
        bool isAlive = true;
        bool isAccepted = false;
        /// Data bytes of the attempt up to which this connection has come.
        std::uint64_t position = 0;
    };

    void openLink();
    bool hasLiveLink() const;
    domain::Duration allowedSilence() const;
    std::size_t maxLinks() const;
    void onSilence();
    void onFailure(Link &link, const LinkFailure &failure);
    asio::awaitable<void> onFrame(Link &link, protocol::AttemptFrame frame);
    void onAccepted(Link &link, const protocol::AttemptAccepted &accepted);
    asio::awaitable<void> onHead(protocol::AnswerHead head);
    asio::awaitable<void> onData(Link &link, std::string data);
    void onEnd(Link &link, const protocol::AnswerEnd &end);
    bool isOwn(const std::string &requestId, std::uint32_t attempt) const;
    /// Whether the data behind the head may follow what the caller has already.
    bool continues(const protocol::AnswerHead &head) const;
    bool isWhole(const protocol::AnswerEnd &end) const;
    void finish(protocol::Outcome outcome, Error error);

    asio::any_io_executor m_executor;
    transport::HttpClient &m_client;
    const AttemptClientOptions &m_options;
    AttemptTarget m_target;
    protocol::Attempt m_attempt;
    TimePoint m_deadline;
    IAttemptSink &m_sink;
    std::shared_ptr<LinkEvents> m_events;
    std::vector<Link> m_links;
    TimePoint m_lastFrame = TimePoint::clock::now();
    bool m_hasHead = false;
    requests::AnswerChecksum m_checksum;
    std::optional<AttemptResult> m_result;
};

void AttemptCarrier::openLink()
{
    protocol::Attempt attempt = m_attempt;
    const bool isFirst = m_links.empty();
    attempt.set_reattach(!isFirst);
    attempt.set_received_bytes(m_checksum.length());
    attempt.set_remaining_ms(remainingMilliseconds(m_deadline));
    attempt.set_receiver_incarnation(m_target.incarnation.count());
    if (!isFirst) {
        // The body is not needed to find the attempt again.
        attempt.clear_body();
        attempt.clear_headers();
    }
    Link link;
    link.position = m_checksum.length();
    const LinkTarget target{m_target.address, m_links.size(), !isFirst};
    m_links.push_back(link);
    m_lastFrame = TimePoint::clock::now();
    asio::co_spawn(asio::make_strand(m_executor),
            runLink(m_events, m_client, target, std::move(attempt)), asio::detached);
}

bool AttemptCarrier::hasLiveLink() const
{
    return std::any_of(
            m_links.begin(), m_links.end(), [](const Link &link) { return link.isAlive; });
}

domain::Duration AttemptCarrier::allowedSilence() const
{
    const bool isRacing = m_links.size() > 1 && !m_links.back().isAccepted;
    return isRacing ? std::min(m_options.raceSilence, m_options.silence) : m_options.silence;
}

std::size_t AttemptCarrier::maxLinks() const
{
    constexpr std::size_t WithRetryElsewhere = 2;
    const bool canRetry = m_attempt.idempotent() && m_checksum.length() == 0;
    return canRetry ? std::min(m_options.maxLinks, WithRetryElsewhere) : m_options.maxLinks;
}

asio::awaitable<AttemptResult> AttemptCarrier::run()
{
    openLink();
    while (!m_result) {
        const TimePoint until = std::min(m_deadline, m_lastFrame + allowedSilence());
        std::optional<LinkEvent> event = co_await m_events->pop(until);
        if (!event) {
            onSilence();
            continue;
        }
        Link &link = m_links[event->link];
        if (!link.isAlive)
            continue;
        if (auto *frame = std::get_if<protocol::AttemptFrame>(&event->what))
            co_await onFrame(link, std::move(*frame));
        else
            onFailure(link, std::get<LinkFailure>(event->what));
    }
    co_return *m_result;
}

void AttemptCarrier::finish(protocol::Outcome outcome, Error error)
{
    m_result.emplace();
    m_result->outcome = outcome;
    m_result->error = std::move(error);
}

void AttemptCarrier::onSilence()
{
    if (TimePoint::clock::now() >= m_deadline) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Timeout, "the deadline passed before the whole answer came",
                        "allow more time"});
        return;
    }
    if (m_links.size() < maxLinks()) {
        openLink();
        return;
    }
    finish(protocol::OUTCOME_UNKNOWN,
            Error{ErrorKind::Unavailable, "all connections to the endpoint are silent",
                    "send the request again if it is idempotent"});
}

void AttemptCarrier::onFailure(Link &link, const LinkFailure &failure)
{
    link.isAlive = false;
    if (!failure.hasSent && m_links.size() == 1) {
        finish(protocol::OUTCOME_NOT_RUN, failure.error);
        return;
    }
    if (hasLiveLink())
        return;
    if (m_links.size() < maxLinks() && TimePoint::clock::now() < m_deadline)
        openLink();
    else
        finish(protocol::OUTCOME_UNKNOWN, failure.error);
}

bool AttemptCarrier::isOwn(const std::string &requestId, std::uint32_t attempt) const
{
    return requestId == m_attempt.request_id() && attempt == m_attempt.attempt();
}

asio::awaitable<void> AttemptCarrier::onFrame(Link &link, protocol::AttemptFrame frame)
{
    m_lastFrame = TimePoint::clock::now();
    if (frame.has_accepted()) {
        onAccepted(link, frame.accepted());
    } else if (!link.isAccepted) {
        onFailure(link,
                {Error{ErrorKind::Corrupted, "the answer does not begin with its request id",
                         "send the request again"},
                        true});
    } else if (frame.has_head()) {
        co_await onHead(std::move(*frame.mutable_head()));
    } else if (frame.has_end()) {
        onEnd(link, frame.end());
    } else if (!frame.data().empty()) {
        co_await onData(link, std::move(*frame.mutable_data()));
    }
}

void AttemptCarrier::onAccepted(Link &link, const protocol::AttemptAccepted &accepted)
{
    link.isAccepted = isOwn(accepted.request_id(), accepted.attempt());
    if (!link.isAccepted) {
        onFailure(link,
                {Error{ErrorKind::Corrupted, "the answer belongs to another request",
                         "send the request again"},
                        true});
    }
}

asio::awaitable<void> AttemptCarrier::onHead(protocol::AnswerHead head)
{
    if (std::exchange(m_hasHead, true))
        co_return;
    if (!continues(head)) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Unavailable,
                        "the answer was to be resumed, and the endpoint answered with status "
                                + std::to_string(head.status()),
                        "resume it at another endpoint"});
        co_return;
    }
    const Expected<Done> taken = co_await m_sink.head(std::move(head));
    if (!taken) {
        finish(protocol::OUTCOME_UNKNOWN, taken.error());
        m_result->isReceiverGone = true;
    }
}

asio::awaitable<void> AttemptCarrier::onData(Link &link, std::string data)
{
    const std::uint64_t end = link.position + data.size();
    const std::uint64_t known = m_checksum.length();
    const std::uint64_t overlap = std::min<std::uint64_t>(known - link.position, data.size());
    link.position = end;
    if (end <= known)
        co_return;
    data.erase(0, overlap);
    m_checksum.add(data);
    const Expected<Done> taken = co_await m_sink.data(std::move(data));
    if (!taken) {
        finish(protocol::OUTCOME_UNKNOWN, taken.error());
        m_result->isReceiverGone = true;
    }
}

bool AttemptCarrier::continues(const protocol::AnswerHead &head) const
{
    if (m_attempt.resume_offset() == 0)
        return true;
    constexpr unsigned FirstSuccess = 200;
    constexpr unsigned FirstRedirect = 300;
    const bool isSuccess = head.status() >= FirstSuccess && head.status() < FirstRedirect;
    return isSuccess && head.active_digest() == m_attempt.required_digest();
}

bool AttemptCarrier::isWhole(const protocol::AnswerEnd &end) const
{
    return m_hasHead && end.length() == m_attempt.resume_offset() + m_checksum.length()
            && end.checksum() == m_checksum.value();
}

void AttemptCarrier::onEnd(Link &link, const protocol::AnswerEnd &end)
{
    if (!isOwn(end.request_id(), end.attempt())) {
        onFailure(link,
                {Error{ErrorKind::Corrupted, "the end of the answer belongs to another request",
                         "send the request again"},
                        true});
        return;
    }
    const bool isAnswered = end.outcome() == protocol::OUTCOME_ANSWERED;
    if (isAnswered && !isWhole(end)) {
        finish(protocol::OUTCOME_UNKNOWN,
                Error{ErrorKind::Corrupted, "length or checksum of the answer does not match",
                        "send the request again"});
        return;
    }
    // A refusal after the first part of an answer contradicts itself.
    const bool isRefused = end.outcome() == protocol::OUTCOME_NOT_RUN && !m_hasHead;
    const protocol::ControlError &error = end.error();
    finish(isAnswered || isRefused ? end.outcome() : protocol::OUTCOME_UNKNOWN,
            Error{kindOf(error.kind()), error.message(), error.remedy()});
    m_result->retryAfter = std::chrono::milliseconds(end.retry_after_ms());
    m_result->isStated = true;
    if (end.has_load() && end.load().limit() > 0)
        m_result->load = end.load();
}

} // namespace

AttemptClient::AttemptClient(
        asio::any_io_executor executor, transport::HttpClient &client, AttemptClientOptions options)
    : m_executor(std::move(executor))
    , m_client(client)
    , m_options(options)
{}

asio::awaitable<AttemptResult> AttemptClient::run(
        AttemptTarget target, protocol::Attempt attempt, TimePoint deadline, IAttemptSink &sink)
{
    const auto strand = co_await asio::this_coro::executor;
    AttemptCarrier carrier(m_executor, strand, m_client, m_options, std::move(target),
            std::move(attempt), deadline, sink);
    AttemptResult result = co_await carrier.run();
    co_return result;
}

} // namespace oriolerill::entry
