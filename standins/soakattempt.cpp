#include "soakattempt.h"

namespace oriolerill::standins {

namespace {

std::uint64_t hashOf(const std::string &text)
{
    constexpr std::uint64_t Offset = 14695981039346656037U;
    constexpr std::uint64_t Prime = 1099511628211U;
    std::uint64_t hash = Offset;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    return hash >> 8U;
}

/// Long streams last up to the grace time; with them some are always under way at a planned stop.
bool isLongStream(const std::string &id)
{
    constexpr std::uint64_t OneIn = 4;
    return hashOf(id + "/long") % OneIn == 0;
}

} // namespace

std::string soakAnswer(const std::string &id, const std::string &instance)
{
    constexpr std::uint64_t MaxFillerSize = 40000;
    std::string text = id + '|' + instance + '|';
    text.append(hashOf(id) % MaxFillerSize, static_cast<char>('a' + hashOf(id) % 26));
    return text + '|' + id;
}

std::string soakFailure(const std::string &id, const std::string &instance)
{
    return "failure of " + id + " at " + instance;
}

std::uint64_t soakEvents(const std::string &id)
{
    constexpr std::uint64_t MinEvents = 5;
    constexpr std::uint64_t Range = 60;
    if (!isLongStream(id))
        return MinEvents + hashOf(id) % Range;
    constexpr std::uint64_t MinTimeMs = 2000;
    constexpr std::uint64_t TimeRangeMs = 5000;
    const std::chrono::milliseconds time(MinTimeMs + hashOf(id + "/time") % TimeRangeMs);
    return static_cast<std::uint64_t>(time / soakEventInterval(id));
}

domain::Duration soakEventInterval(const std::string &id)
{
    constexpr std::uint64_t MinIntervalMs = 20;
    constexpr std::uint64_t IntervalRangeMs = 101;
    return std::chrono::milliseconds(
            MinIntervalMs + (isLongStream(id) ? hashOf(id + "/interval") % IntervalRangeMs : 0));
}

std::string soakEvent(const std::string &id, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return "id: " + digits + "\ndata: " + id + '/' + digits + '/' + std::to_string(soakEvents(id))
            + "\n\n";
}

} // namespace oriolerill::standins
