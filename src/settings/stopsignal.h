#pragma once

namespace oriolerill::settings {

/// SIGTERM and SIGINT as an event to wait for. Created before any thread is started.
class StopSignal
{
public:
    /// Blocks the signals in this thread and in those that it starts; ignores SIGPIPE.
    StopSignal();

    /// Waits for the first signal and yields its number. Later signals end the process at once.
    int wait() const;
};

} // namespace oriolerill::settings
