#pragma once

namespace oriolerill::settings {

/// Waits for SIGTERM or SIGINT. Must be created before any thread is started.
class StopSignal
{
public:
    /// Blocks the signals in this thread and in threads started by it; ignores SIGPIPE.
    StopSignal();

    /// Waits for the first signal and returns its number. Later signals end the process at once.
    int wait() const;
};

} // namespace oriolerill::settings
