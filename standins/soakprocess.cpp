#include "soakprocess.h"

#include "program.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace oriolerill::standins {

namespace asio = boost::asio;
using domain::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 10ms;
/// Limit of resident memory, below memory_mb = 260 of the operators' settings page.
constexpr std::size_t MaxKilobytes = std::size_t(160) << 10U;

std::size_t residentKilobytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    const std::string name = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size()));
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    std::size_t count = 0;
    std::error_code code;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(pid) + "/fd", code);
    for (; !code && entry != std::filesystem::directory_iterator(); entry.increment(code))
        ++count;
    return count;
}

} // namespace

SoakProcess::SoakProcess(SoakJournal &journal, std::string name, std::vector<std::string> command,
        std::string logFile)
    : m_journal(journal)
    , m_name(std::move(name))
    , m_command(std::move(command))
    , m_logFile(std::move(logFile))
{}

SoakProcess::~SoakProcess()
{
    end();
}

void SoakProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t Mode = 0644;
    posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherits sockets keeps them open after a stand-in has reset them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char *> arguments;
    for (std::string &word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const int error
            = posix_spawn(&m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_pid = 0;
        m_journal.violation("START", m_name + " cannot be started: " + std::to_string(error));
        return;
    }
    ++m_incarnation;
    m_stopRequestedAt = {};
    m_journal.log("start " + m_name + " pid=" + std::to_string(m_pid));
}

bool SoakProcess::hasEnded()
{
    if (m_pid == 0)
        return true;
    if (waitpid(m_pid, &m_status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    return true;
}

void SoakProcess::end()
{
    if (m_pid == 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, &m_status, 0);
    m_pid = 0;
}

asio::awaitable<void> SoakProcess::killAndRestart(domain::Duration pause)
{
    if (hasEnded())
        co_return;
    m_journal.beginFault(m_name, "SIGKILL");
    end();
    co_await sleepFor(pause);
    start();
    m_journal.endFault(m_name);
}

asio::awaitable<void> SoakProcess::stopAndRestart(domain::Duration pause)
{
    if (hasEnded())
        co_return;
    const TimePoint begun = TimePoint::clock::now();
    m_stopRequestedAt = begun;
    m_journal.beginFault(m_name, "SIGTERM");
    kill(m_pid, SIGTERM);
    bool isOver = false;
    while (!isOver) {
        co_await sleepFor(PollInterval);
        isOver = hasEnded() || TimePoint::clock::now() > begun + GraceTime;
    }
    const std::chrono::duration<double> time = TimePoint::clock::now() - begun;
    if (m_pid != 0) {
        m_journal.log(m_name + " was killed at the end of the grace time");
        end();
    } else if (!WIFEXITED(m_status) || WEXITSTATUS(m_status) != 0) {
        m_journal.violation("EXIT",
                m_name + " ended a planned stop with wait status " + std::to_string(m_status));
    } else {
        m_journal.log(m_name + " stopped after " + std::to_string(time.count()) + " s");
    }
    co_await sleepFor(pause);
    start();
    m_journal.endFault(m_name);
}

asio::awaitable<void> SoakProcess::freeze(domain::Duration time)
{
    if (hasEnded())
        co_return;
    m_journal.beginFault(m_name, "SIGSTOP");
    kill(m_pid, SIGSTOP);
    co_await sleepFor(time);
    if (m_pid != 0)
        kill(m_pid, SIGCONT);
    m_journal.endFault(m_name);
}

void SoakProcess::check(std::size_t maxDescriptors)
{
    if (m_pid == 0 || m_stopRequestedAt != TimePoint())
        return;
    if (hasEnded()) {
        m_journal.violation(
                "EXIT", m_name + " ended by itself, wait status " + std::to_string(m_status));
        start();
        return;
    }
    const std::size_t kilobytes = residentKilobytes(m_pid);
    const std::size_t descriptors = openDescriptors(m_pid);
    m_peakKilobytes = std::max(m_peakKilobytes, kilobytes);
    m_peakDescriptors = std::max(m_peakDescriptors, descriptors);
    if (m_isOverLimit || (kilobytes <= MaxKilobytes && descriptors <= maxDescriptors))
        return;
    m_isOverLimit = true;
    m_journal.violation("RESOURCES",
            m_name + " has " + std::to_string(kilobytes) + " KiB and " + std::to_string(descriptors)
                    + " descriptors, limits " + std::to_string(MaxKilobytes) + " and "
                    + std::to_string(maxDescriptors));
}

} // namespace oriolerill::standins
