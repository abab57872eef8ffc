#include "membership/controlschedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oriolerill::membership {

using namespace std::chrono_literals;

namespace {

// Budget of 2 KB/s per node, less 0.8 KB/s for changes of configuration (section 5.4 of the design
// page).
constexpr double HeartbeatBytesPerSecond = 550;
// Small data centres may send more heartbeats, so that an unresponsive endpoint is detected within
// 2 s.
constexpr double SmallFleetHeartbeatBytesPerSecond = 1200;
constexpr double ExchangeBytesPerSecond = 370;
constexpr double SummaryBytesPerSecond = 230;

// Up to this number of entries in a data centre, every exchange is sent to all of them; the budget
// of 2 KB/s applies to larger data centres.
constexpr std::size_t SmallFleetEntries = 4;
constexpr domain::Duration MinInterval = 500ms;
// Agents receive the configuration with heartbeat replies, which must happen within 5 s.
constexpr domain::Duration MaxHeartbeatInterval = 4s;
constexpr domain::Duration MinSummaryInterval = 1s;
constexpr std::size_t HomesPerEndpoint = 2;

domain::Duration intervalFor(double bytes, double bytesPerSecond, domain::Duration minInterval)
{
    const auto needed = std::chrono::duration<double>(bytes / bytesPerSecond);
    return std::max(minInterval, std::chrono::duration_cast<domain::Duration>(needed));
}

double heartbeatReplyBytes(const ControlScale &scale)
{
    const std::size_t entries = std::max<std::size_t>(scale.entries, 1);
    const std::size_t homes = std::min(HomesPerEndpoint, entries);
    return static_cast<double>(scale.endpoints * homes * HeartbeatReplyBytes)
            / static_cast<double>(entries);
}

// An entry answers, on average, as many exchanges as it sends.
constexpr double BytesPerPeer = 2.0 * ExchangeBytes;

double summaryBytes(const ControlScale &scale)
{
    if (scale.dataCentres < 2)
        return 0;
    const auto entries = static_cast<double>(std::max<std::size_t>(scale.entries, 1));
    const auto others = static_cast<double>(scale.dataCentres - 1);
    const double sentBytes = ExchangeBytes + SummaryBytes + entries * EntryInfoBytes;
    // Each summary received is forwarded to the other entries of the data centre with exchanges.
    const double forwardedBytes = (entries - 1) * SummaryBytes;
    return others / entries * (sentBytes + forwardedBytes);
}

} // namespace

domain::Duration ControlSchedule::exchangeCycle(std::size_t entries) const
{
    const std::size_t peers = entries > 1 ? entries - 1 : 1;
    const std::size_t rounds = (peers + peersPerExchange - 1) / peersPerExchange;
    return exchangeInterval * static_cast<domain::Duration::rep>(rounds);
}

ControlSchedule planControl(const ControlScale &scale)
{
    ControlSchedule schedule;
    const bool isSmall = scale.entries <= SmallFleetEntries;
    const double heartbeatBytesPerSecond
            = isSmall ? SmallFleetHeartbeatBytesPerSecond : HeartbeatBytesPerSecond;
    schedule.heartbeatInterval = std::min(MaxHeartbeatInterval,
            intervalFor(heartbeatReplyBytes(scale), heartbeatBytesPerSecond, MinInterval));
    schedule.exchangeInterval = MinInterval;
    schedule.summaryInterval = MinSummaryInterval;
    schedule.peersPerExchange = std::max<std::size_t>(scale.entries, 2) - 1;
    if (isSmall)
        return schedule;
    schedule.peersPerExchange = 1;
    schedule.exchangeInterval = intervalFor(BytesPerPeer, ExchangeBytesPerSecond, MinInterval);
    schedule.summaryInterval
            = intervalFor(summaryBytes(scale), SummaryBytesPerSecond, MinSummaryInterval);
    return schedule;
}

double entryBytesPerSecond(const ControlScale &scale, const ControlSchedule &schedule)
{
    const auto seconds = [](domain::Duration duration) {
        return std::chrono::duration<double>(duration).count();
    };
    return heartbeatReplyBytes(scale) / seconds(schedule.heartbeatInterval)
            + static_cast<double>(schedule.peersPerExchange) * BytesPerPeer
            / seconds(schedule.exchangeInterval)
            + summaryBytes(scale) / seconds(schedule.summaryInterval);
}

} // namespace oriolerill::membership
