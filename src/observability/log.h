#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace oriolerill::observability {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key=value pair of a log line. Values with spaces or quotes are quoted.
class LogField
{
public:
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {}
    LogField(std::string_view key, const char *value)
        : m_key(key)
        , m_value(value)
    {}
    LogField(std::string_view key, const std::string &value)
        : m_key(key)
        , m_value(value)
    {}
    template<class Number, std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
    LogField(std::string_view key, Number value)
        : m_key(key)
        , m_value(std::to_string(value))
    {}

    const std::string &key() const { return m_key; }
    const std::string &value() const { return m_value; }

private:
    std::string m_key;
    std::string m_value;
};

/// Writes log lines of at least minSeverity to standard output. Writing does not block: lines that
/// standard output cannot accept are discarded and counted.
void startLogging(Severity minSeverity, std::string_view processName);

/// Writes one line for an event, named in lower case with underscores. The lines of each event are
/// limited per second; the next line states how many were dropped.
void logEvent(
        Severity severity, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace oriolerill::observability
