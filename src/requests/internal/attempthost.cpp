#include "requests/attempthost.h"

#include "requests/attemptframecodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

#include <deque>
#include <exception>
#include <utility>

namespace oriolerill::requests {

namespace asio = boost::asio;
using domain::Error;
using domain::ErrorKind;
using domain::TimePoint;

namespace {

constexpr auto RefusalRetryDelay = std::chrono::milliseconds(100);

Error neverReceivedError()
{
    return Error{ErrorKind::Cancelled, "the attempt never arrived and is refused from now on",
            "send the request again"};
}

Error unknownError()
{
    return Error{ErrorKind::Unavailable, "this process cannot tell whether the attempt ran",
            "repeat it only if it is idempotent, or look up its effect"};
}

Error answerEvictedError()
{
    return Error{ErrorKind::Unavailable, "the answer is no longer held",
            "repeat it only if it is idempotent, or look up its effect"};
}

Error closedError()
{
    return Error{ErrorKind::Unavailable, "this process takes no new work", "send it elsewhere"};
}

} // namespace

struct AttemptHost::State
{
    State(asio::any_io_executor workerExecutor, domain::Incarnation own,
            AttemptHostOptions hostOptions)
        : executor(std::move(workerExecutor))
        , incarnation(own)
        , options(hostOptions)
        , registry(own, hostOptions.registry)
    {}

    struct FinishedAnswer
    {
        TimePoint releaseAt;
        std::shared_ptr<RunningAttempt> attempt;
    };

    asio::any_io_executor executor;
    domain::Incarnation incarnation;
    AttemptHostOptions options;
    std::mutex mutex;
    AttemptRegistry registry;
    std::deque<FinishedAnswer> finished;
    std::atomic<std::size_t> active = 0;
    std::atomic<bool> isClosed = false;

    struct Admitted
    {
        std::shared_ptr<RunningAttempt> attempt;
        bool isNew = false;
    };

    Admitted begin(const protocol::Attempt &attempt);
    AttemptAdmission admit(const protocol::Attempt &attempt, TimePoint now);
    std::shared_ptr<RunningAttempt> refusedAttempt(
            const protocol::Attempt &attempt, protocol::Outcome outcome, const Error &error) const;
    void complete(const std::shared_ptr<RunningAttempt> &running);

    static asio::awaitable<void> run(
            std::shared_ptr<State> state, std::shared_ptr<RunningAttempt> running, Runner runner);
};

std::shared_ptr<RunningAttempt> AttemptHost::State::refusedAttempt(
        const protocol::Attempt &attempt, protocol::Outcome outcome, const Error &error) const
{
    auto running = std::make_shared<RunningAttempt>(
            attempt, TimePoint::clock::now(), options.maxBufferedBytes);
    running->fail(outcome, error, RefusalRetryDelay, {});
    return running;
}

AttemptAdmission AttemptHost::State::admit(const protocol::Attempt &attempt, TimePoint now)
{
    while (!finished.empty() && finished.front().releaseAt <= now) {
        finished.front().attempt->release();
        finished.pop_front();
    }
    return registry.admit(attempt, now);
}

AttemptHost::State::Admitted AttemptHost::State::begin(const protocol::Attempt &attempt)
{
    const TimePoint now = TimePoint::clock::now();
    const std::scoped_lock lock(mutex);
    const AttemptAdmission admission = admit(attempt, now);
    if (const auto *attached = std::get_if<AttachAttempt>(&admission))
        return {attached->attempt, false};
    if (std::holds_alternative<UnknownAttempt>(admission))
        return {refusedAttempt(attempt, protocol::OUTCOME_UNKNOWN, unknownError()), false};
    if (std::holds_alternative<RefuseAttempt>(admission))
        return {refusedAttempt(attempt, protocol::OUTCOME_NOT_RUN, neverReceivedError()), false};
    if (isClosed || active >= options.maxActive)
        return {refusedAttempt(attempt, protocol::OUTCOME_NOT_RUN, closedError()), false};
    auto running = std::make_shared<RunningAttempt>(attempt, now, options.maxBufferedBytes);
    registry.started(AttemptKey::of(attempt), attempt.sequence(), running);
    ++active;
    return {running, true};
}

void AttemptHost::State::complete(const std::shared_ptr<RunningAttempt> &running)
{
    const TimePoint now = TimePoint::clock::now();
    const std::scoped_lock lock(mutex);
    registry.finished(AttemptKey::of(running->attempt()), now);
    finished.push_back({now + options.answerRetention, running});
    --active;
}

asio::awaitable<void> AttemptHost::State::run(
        std::shared_ptr<State> state, std::shared_ptr<RunningAttempt> running, Runner runner)
{
    try {
        co_await runner(running);
    } catch (const std::exception &) {
        // The attempt may have run before the exception, so its outcome is unknown.
    }
    if (!running->isFinished())
        running->fail(protocol::OUTCOME_UNKNOWN, unknownError(), RefusalRetryDelay, {});
    state->complete(running);
}

AttemptHost::AttemptHost(
        asio::any_io_executor executor, domain::Incarnation incarnation, AttemptHostOptions options)
    : m_state(std::make_shared<State>(std::move(executor), incarnation, options))
{}

AttemptHost::~AttemptHost() = default;

void AttemptHost::close()
{
    m_state->isClosed = true;
}

bool AttemptHost::isClosed() const
{
    return m_state->isClosed;
}

std::size_t AttemptHost::active() const
{
    return m_state->active;
}

namespace {

std::string acceptedFrame(const protocol::Attempt &attempt, domain::Incarnation incarnation)
{
    protocol::AttemptFrame frame;
    frame.mutable_accepted()->set_request_id(attempt.request_id());
    frame.mutable_accepted()->set_attempt(attempt.attempt());
    frame.mutable_accepted()->set_incarnation(incarnation.count());
    return encodeFrame(frame);
}

std::string lostFrame(const protocol::Attempt &attempt)
{
    const Error error = answerEvictedError();
    protocol::AttemptFrame frame;
    frame.mutable_end()->set_request_id(attempt.request_id());
    frame.mutable_end()->set_attempt(attempt.attempt());
    frame.mutable_end()->set_outcome(protocol::OUTCOME_UNKNOWN);
    frame.mutable_end()->mutable_error()->set_kind(std::string(toString(error.kind)));
    frame.mutable_end()->mutable_error()->set_message(error.message);
    frame.mutable_end()->mutable_error()->set_remedy(error.remedy);
    return encodeFrame(frame);
}

std::string heartbeatFrame()
{
    protocol::AttemptFrame frame;
    frame.set_heartbeat(true);
    return encodeFrame(frame);
}

/// Attaches a reader for as long as its connection is served.
class Attachment
{
public:
    Attachment(std::shared_ptr<RunningAttempt> attempt, std::shared_ptr<StrandSignal> signal,
            std::uint64_t offset)
        : m_attempt(std::move(attempt))
        , m_signal(std::move(signal))
    {
        m_attempt->attach(m_signal, offset);
    }
    ~Attachment() { m_attempt->detach(m_signal); }
    Attachment(const Attachment &) = delete;
    Attachment &operator=(const Attachment &) = delete;

private:
    std::shared_ptr<RunningAttempt> m_attempt;
    std::shared_ptr<StrandSignal> m_signal;
};

asio::awaitable<void> sendAnswer(std::shared_ptr<RunningAttempt> running,
        std::shared_ptr<StrandSignal> signal, std::string first, AttemptHost::Write write,
        domain::Duration heartbeatInterval)
{
    std::string bytes = std::move(first);
    for (;;) {
        const RunningAttempt::Output output = running->next(signal);
        for (const protocol::AttemptFrame &frame : output.frames)
            bytes += encodeFrame(frame);
        if (output.isLost)
            bytes += lostFrame(running->attempt());
        const bool isLast = output.isLost || output.isEnd;
        if (!bytes.empty()) {
            const domain::Expected<domain::Done> sent = co_await write(std::move(bytes));
            if (!sent || isLast)
                co_return;
            bytes.clear();
            continue;
        }
        const TimePoint heartbeatAt = TimePoint::clock::now() + heartbeatInterval;
        co_await signal->wait(heartbeatAt);
        if (TimePoint::clock::now() >= heartbeatAt)
            bytes = heartbeatFrame();
    }
}

} // namespace

asio::awaitable<void> AttemptHost::serve(protocol::Attempt attempt, Write write, Runner runner)
{
    const std::shared_ptr<State> state = m_state;
    const std::uint64_t offset = attempt.reattach() ? attempt.received_bytes() : 0;
    std::string accepted = acceptedFrame(attempt, state->incarnation);
    State::Admitted admitted = state->begin(attempt);
    const auto strand = co_await asio::this_coro::executor;
    const auto signal = std::make_shared<StrandSignal>(strand);
    // Attached before the run starts; otherwise a fast answer could overrun the buffer unread.
    const Attachment attachment(admitted.attempt, signal, offset);
    if (admitted.isNew) {
        asio::co_spawn(asio::make_strand(state->executor),
                State::run(state, admitted.attempt, std::move(runner)), asio::detached);
    }
    co_await sendAnswer(admitted.attempt, signal, std::move(accepted), std::move(write),
            state->options.heartbeatInterval);
}

} // namespace oriolerill::requests
