#include "transport/internal/socketcloser.h"

#include "observability/log.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>

namespace oriolerill::transport {

namespace {

// nng closes a socket within milliseconds. In nng 1.5.2 it may also wait for ever, when a message
// arrives at the moment at which its connection is closed: the receive operation is neither
// completed nor cancelled, and the one thread that releases the connections of the process waits
// for it. From then on no socket of the process is closed any more; new ones still work.
constexpr auto MaxCloseTime = std::chrono::seconds(1);

} // namespace

struct SocketCloser::State
{
    struct Entry
    {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        std::shared_ptr<void> user;
        domain::TimePoint notBefore;
        domain::TimePoint deadline;
    };

    // Once for each closer: after the first such socket all that follow are overdue too.
    void reportOverdue()
    {
        if (hasReported)
            return;
        hasReported = true;
        observability::logEvent(observability::Severity::Warning, "control_close_overdue",
                {{"sockets", entries.size()}});
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Entry> entries;
    bool isEnding = false;
    bool hasReported = false;
};

SocketCloser::SocketCloser()
    : m_state(std::make_shared<State>())
    , m_thread([state = m_state] { run(state); })
{}

SocketCloser::~SocketCloser()
{
    std::unique_lock lock(m_state->mutex);
    m_state->isEnding = true;
    const domain::TimePoint deadline = domain::TimePoint::clock::now() + MaxCloseTime;
    for (State::Entry &entry : m_state->entries)
        entry.deadline = std::min(entry.deadline, deadline);
    m_state->changed.notify_all();
    waitUntilClosed(lock);
    const bool isDone = m_state->entries.empty();
    lock.unlock();
    if (isDone)
        m_thread.join();
    else
        m_thread.detach();
}

void SocketCloser::close(nng_socket socket, domain::TimePoint notBefore, std::shared_ptr<void> user)
{
    const std::scoped_lock lock(m_state->mutex);
    std::deque<State::Entry> &entries = m_state->entries;
    if (!entries.empty() && domain::TimePoint::clock::now() >= entries.front().deadline)
        m_state->reportOverdue();
    entries.push_back({socket, std::move(user), notBefore, notBefore + MaxCloseTime});
    m_state->changed.notify_all();
}

void SocketCloser::waitUntilClosed()
{
    std::unique_lock lock(m_state->mutex);
    waitUntilClosed(lock);
}

void SocketCloser::waitUntilClosed(std::unique_lock<std::mutex> &lock)
{
    if (m_state->entries.empty())
        return;
    const domain::TimePoint deadline = m_state->entries.back().deadline;
    if (!m_state->changed.wait_until(lock, deadline, [this] { return m_state->entries.empty(); }))
        m_state->reportOverdue();
}

void SocketCloser::run(const std::shared_ptr<State> &state)
{
    std::unique_lock lock(state->mutex);
    while (true) {
        state->changed.wait(lock, [&state] { return state->isEnding || !state->entries.empty(); });
        if (state->entries.empty())
            return;
        const State::Entry entry = state->entries.front();
        state->changed.wait_until(lock, entry.notBefore, [&state] { return state->isEnding; });
        lock.unlock();
        nng_close(entry.socket);
        lock.lock();
        state->entries.pop_front();
        state->changed.notify_all();
    }
}

} // namespace oriolerill::transport
