#include "observability/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <chrono>
#include <iostream>

namespace oriolerill::observability {

namespace logging = boost::log;

namespace {

using Logger = logging::sources::severity_logger_mt<Severity>;

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

void startLogging(Severity lowest, std::string_view processName)
{
    processLabel() = processName;
    logging::add_console_log(std::cerr,
            logging::keywords::format = logging::expressions::stream
                    << logging::expressions::smessage,
            logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(logging::expressions::attr<Severity>("Severity") >= lowest);
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    using std::chrono::milliseconds;
    static Logger logger;
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
    BOOST_LOG_SEV(logger, severity) << line;
}

} // namespace oriolerill::observability
