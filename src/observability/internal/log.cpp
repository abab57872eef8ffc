#include "observability/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace oriolerill::observability {

namespace logging = boost::log;

namespace {

using Logger = logging::sources::severity_logger_mt<Severity>;

/// Maximum number of lines per second and event; further ones are dropped and counted. Allows a
/// line for each request of a busy entry, and limits the cost of a failure that many requests log.
constexpr std::uint32_t MaxLinesPerSecond = 400;

/// Writes lines to standard output without blocking: a stalled reader must not delay requests.
class OutputBackend : public logging::sinks::basic_formatted_sink_backend<char,
                              logging::sinks::synchronized_feeding>
{
public:
    void consume(const logging::record_view & /*record*/, const std::string &line)
    {
        pollfd output = {STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            ++m_lostLines;
            return;
        }
        std::string text;
        if (m_lostLines > 0)
            text = "event=log_lines_lost lines=" + std::to_string(m_lostLines) + '\n';
        text += line + '\n';
        // A pipe that is ready for writing accepts a line of this size in one piece.
        if (::write(STDOUT_FILENO, text.data(), text.size()) < 0)
            ++m_lostLines;
        else
            m_lostLines = 0;
    }

private:
    std::uint64_t m_lostLines = 0;
};

/// Limits the lines of each event per second.
class EventRateLimiter
{
public:
    /// Whether a line may be written now; if so, sets dropped to the number of lines dropped before
    /// it.
    bool tryAcquire(std::string_view event, std::chrono::steady_clock::time_point now,
            std::uint64_t &dropped)
    {
        const std::scoped_lock lock(m_mutex);
        Count &count = m_counts.try_emplace(std::string(event)).first->second;
        if (now - count.secondStart >= std::chrono::seconds(1)) {
            count.secondStart = now;
            count.lines = 0;
        }
        if (count.lines >= MaxLinesPerSecond) {
            ++count.dropped;
            return false;
        }
        ++count.lines;
        dropped = std::exchange(count.dropped, 0);
        return true;
    }

private:
    struct Count
    {
        std::chrono::steady_clock::time_point secondStart;
        std::uint32_t lines = 0;
        std::uint64_t dropped = 0;
    };

    std::mutex m_mutex;
    std::map<std::string, Count> m_counts;
};

EventRateLimiter &eventRateLimiter()
{
    static EventRateLimiter limiter;
    return limiter;
}

std::string &processLabel()
{
    static std::string label;
    return label;
}

std::string_view toString(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

void appendValue(std::string &line, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '\n') {
            line += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\r' || c == '\t' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void startLogging(Severity minSeverity, std::string_view processName)
{
    processLabel() = processName;
    using Sink = logging::sinks::synchronous_sink<OutputBackend>;
    const auto sink = boost::make_shared<Sink>();
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    logging::core::get()->set_filter(
            logging::expressions::attr<Severity>("Severity") >= minSeverity);
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    using std::chrono::milliseconds;
    static Logger logger;
    std::uint64_t dropped = 0;
    if (!eventRateLimiter().tryAcquire(event, std::chrono::steady_clock::now(), dropped))
        return;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    std::string line = "ts_ms=";
    line += std::to_string(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    line += " level=";
    line += toString(severity);
    line += " process=";
    appendValue(line, processLabel());
    line += " event=";
    line += event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key();
        line += '=';
        appendValue(line, field.value());
    }
    if (dropped > 0)
        line += " dropped_before=" + std::to_string(dropped);
    BOOST_LOG_SEV(logger, severity) << line;
}

} // namespace oriolerill::observability
