#pragma once

#include "domain/timepoint.h"

#include <cstddef>

namespace oriolerill::membership {

/// Size of a deployment as one entry sees it.
struct ControlScale
{
    std::size_t endpoints = 0;
    /// Entries of the own data centre, itself included.
    std::size_t entries = 1;
    std::size_t dataCentres = 1;
};

/// How often control messages are sent, so that a node sends at most 2 KB/s.
struct ControlSchedule
{
    domain::Duration heartbeatInterval = {};
    domain::Duration exchangeInterval = {};
    /// Entries of the own data centre that get an exchange per interval.
    std::size_t peersPerExchange = 1;
    domain::Duration summaryInterval = {};

    /// Time in which an entry hears from each other entry of its data centre.
    domain::Duration exchangeCycle(std::size_t entries) const;
};

ControlSchedule planControl(const ControlScale &scale);

/// Bytes that an entry sends per second under the schedule, for heartbeat replies, exchanges and
/// summaries; changes of configuration are not in it.
double entryBytesPerSecond(const ControlScale &scale, const ControlSchedule &schedule);

/// Encoded sizes that the schedule is computed with; the tests compare them with real messages.
/// Each has 12 bytes for the framing of nng.
inline constexpr std::size_t HeartbeatBytes = 210;
inline constexpr std::size_t HeartbeatReplyBytes = 80;
inline constexpr std::size_t ExchangeBytes = 180;
inline constexpr std::size_t SummaryBytes = 160;
inline constexpr std::size_t EntryInfoBytes = 110;

} // namespace oriolerill::membership
