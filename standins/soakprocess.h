#pragma once

#include "soakjournal.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

#include <sys/types.h>

namespace oriolerill::standins {

/// A program under test: starts, signals and monitors it as a child process.
class SoakProcess
{
public:
    /// grace_s of the operators' settings page: time between SIGTERM and SIGKILL.
    static constexpr auto GraceTime = std::chrono::milliseconds(8000);

    SoakProcess(SoakJournal &journal, std::string name, std::vector<std::string> command,
            std::string logFile);
    ~SoakProcess();
    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    const std::string &name() const { return m_name; }
    bool isRunning() const { return m_pid > 0; }
    /// Number of starts; a new incarnation has none of the state of the previous one.
    int incarnation() const { return m_incarnation; }
    /// Time of SIGTERM in this incarnation; default-constructed until it is sent.
    domain::TimePoint stopRequestedAt() const { return m_stopRequestedAt; }
    /// A fault series acts on this process; other series skip it.
    bool isBusy = false;

    void start();
    boost::asio::awaitable<void> killAndRestart(domain::Duration pause);
    /// Sends SIGTERM, SIGKILL after the grace time, and restarts after the pause.
    boost::asio::awaitable<void> stopAndRestart(domain::Duration pause);
    boost::asio::awaitable<void> freeze(domain::Duration time);
    /// Reports an unexpected exit, and memory or descriptors above the limits.
    void check(std::size_t maxDescriptors);
    std::size_t peakKilobytes() const { return m_peakKilobytes; }
    std::size_t peakDescriptors() const { return m_peakDescriptors; }
    /// Kills the process without a check of its exit status.
    void end();

private:
    bool hasEnded();

    SoakJournal &m_journal;
    std::string m_name;
    std::vector<std::string> m_command;
    std::string m_logFile;
    pid_t m_pid = 0;
    int m_incarnation = 0;
    int m_status = 0;
    domain::TimePoint m_stopRequestedAt;
    std::size_t m_peakKilobytes = 0;
    std::size_t m_peakDescriptors = 0;
    bool m_isOverLimit = false;
};

} // namespace oriolerill::standins
