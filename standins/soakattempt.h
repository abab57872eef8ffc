#pragma once

#include "domain/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::standins {

enum class SoakKind { Read, Order, Stream, ResumableStream, ConfigProbe };

/// One request of a client, with what clients and endpoints observed of it.
struct SoakAttempt
{
    /// Deadline-Ms and timeout_ms of requests that are not streams.
    static constexpr auto PlainTimeLimit = std::chrono::milliseconds(6000);
    /// Deadline-Ms and timeout_ms of streams: the longest stream with several silences of its
    /// engine ends before.
    static constexpr auto StreamTimeLimit = std::chrono::milliseconds(15000);

    std::string id;
    SoakKind kind = SoakKind::Read;
    std::string method = "GET";
    std::string target;
    std::string body;
    bool isBodyChunked = false;
    /// The entry to which the client sent the request, and its incarnation.
    std::string entry;
    int incarnation = 0;
    /// Configuration version that adds the route; zero for routes of all versions.
    std::uint64_t configVersion = 0;
    domain::TimePoint sent;
    int runs = 0;
    /// Runs that have not ended, and the end of the last one that has.
    int activeRuns = 0;
    domain::TimePoint runEndedAt;
    /// Last endpoint that the request reached, and whether a fault of the endpoint affected the
    /// answer.
    std::string endpoint;
    bool hasEndpointFailed = false;
    std::optional<unsigned> refusal;
    /// Parts of the prompt of a stream, as sent.
    std::string parts;
    /// The part of its prompt that crashes engines, or the deadly request that it repeats; empty
    /// without one.
    std::string deadlyCause;

    bool isIdempotent() const { return kind != SoakKind::Order && kind != SoakKind::Stream; }
    bool isStream() const { return kind == SoakKind::Stream || kind == SoakKind::ResumableStream; }
    domain::Duration timeLimit() const { return timeLimit(isStream()); }
    static domain::Duration timeLimit(bool isStream)
    {
        return isStream ? StreamTimeLimit : PlainTimeLimit;
    }
    /// Whether an endpoint was still at work on the request at the time or later.
    bool isAtWorkSince(domain::TimePoint time) const
    {
        return activeRuns > 0 || (runs > 0 && runEndedAt >= time);
    }
};

/// Complete body with which an endpoint instance answers a plain request.
std::string soakAnswer(const std::string &id, const std::string &instance);
/// Body of a failure with which an endpoint instance answers.
std::string soakFailure(const std::string &id, const std::string &instance);
/// Number of events of the stream, and the time between two of them.
std::uint64_t soakEvents(const std::string &id);
domain::Duration soakEventInterval(const std::string &id);
/// One event with its terminator; numbers begin at 1.
std::string soakEvent(const std::string &id, std::uint64_t number);

} // namespace oriolerill::standins
