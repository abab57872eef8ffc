#include "settings/stopsignal.h"

#include <csignal>

#include <pthread.h>
#include <signal.h>

namespace oriolerill::settings {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

StopSignal::StopSignal()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a connection closed by the peer must fail the call, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

int StopSignal::wait() const
{
    const sigset_t signals = stopSignals();
    int number = 0;
    sigwait(&signals, &number);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    return number;
}

} // namespace oriolerill::settings
