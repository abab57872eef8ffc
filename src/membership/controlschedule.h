#pragma once

#include "domain/timepoint.h"

#include <cstddef>

namespace oriolerill::membership {

/// Size of a deployment, as known to one entry.
struct ControlScale
{
    std::size_t endpoints = 0;
    /// Entries of the own data centre, itself included.
    std::size_t entries = 1;
    std::size_t dataCentres = 1;
};

/// Intervals of control messages, chosen so that a node sends at most 2 KB/s.
struct ControlSchedule
{
    domain::Duration heartbeatInterval = {};
    domain::Duration exchangeInterval = {};
    /// Number of entries of the own data centre to which an exchange is sent per interval.
    std::size_t peersPerExchange = 1;
    domain::Duration summaryInterval = {};

    /// Time in which an entry receives an exchange from every other entry of its data centre.
    domain::Duration exchangeCycle(std::size_t entries) const;
};

ControlSchedule planControl(const ControlScale &scale);

/// Bytes that an entry sends per second under the schedule: heartbeat replies, exchanges and
/// summaries, without changes of configuration.
double entryBytesPerSecond(const ControlScale &scale, const ControlSchedule &schedule);

/// Upper bounds of encoded sizes, from which the schedule is computed; the tests compare them with
/// real messages. Each includes 12 bytes for the framing of nng.
inline constexpr std::size_t HeartbeatBytes = 210;
inline constexpr std::size_t HeartbeatReplyBytes = 80;
inline constexpr std::size_t ExchangeBytes = 180;
inline constexpr std::size_t SummaryBytes = 160;
inline constexpr std::size_t EntryInfoBytes = 110;

} // namespace oriolerill::membership
