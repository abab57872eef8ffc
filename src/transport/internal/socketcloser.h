#pragma once

#include "domain/timepoint.h"

#include <nng/nng.h>

#include <memory>
#include <mutex>
#include <thread>

namespace oriolerill::transport {

/// Closes nng sockets on a thread of its own, because nng_close() may never return.
class SocketCloser
{
public:
    SocketCloser();
    /// Closes the rest at once and waits as waitUntilClosed() does; sockets that are then still
    /// open stay so until the process ends.
    ~SocketCloser();
    SocketCloser(const SocketCloser &) = delete;
    SocketCloser &operator=(const SocketCloser &) = delete;

    /// Schedules the close and returns at once; closes are made in the order of the calls. The user
    /// is what the callbacks of the socket refer to: it is kept until the socket is closed.
    void close(
            nng_socket socket, domain::TimePoint notBefore, std::shared_ptr<void> user = nullptr);
    /// Returns when all sockets are closed, or when the time to close the last of them is over.
    void waitUntilClosed();

private:
    struct State;
    static void run(const std::shared_ptr<State> &state);
    void waitUntilClosed(std::unique_lock<std::mutex> &lock);

    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace oriolerill::transport
