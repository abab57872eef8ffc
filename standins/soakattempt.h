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
    /// Deadline-Ms of each request and timeout_ms of each route.
    static constexpr auto TimeLimit = std::chrono::milliseconds(6000);

    std::string id;
    SoakKind kind = SoakKind::Read;
    std::string method = "GET";
    std::string target;
    std::string body;
    /// The entry to which the client sent the request, and its incarnation.
    std::string entry;
    int incarnation = 0;
    /// Configuration version that adds the route; zero for routes of all versions.
    std::uint64_t configVersion = 0;
    domain::TimePoint sent;
    int runs = 0;
    /// Last endpoint that the request reached, and whether a fault of the endpoint affected the
    /// answer.
    std::string endpoint;
    bool hasEndpointFailed = false;
    std::optional<unsigned> refusal;
    /// Parts of the prompt of a stream, as sent.
    std::string parts;
    /// The part of its prompt that crashes engines; empty without one.
    std::string deadlyPart;

    bool isIdempotent() const { return kind != SoakKind::Order && kind != SoakKind::Stream; }
    bool isStream() const { return kind == SoakKind::Stream || kind == SoakKind::ResumableStream; }
};

/// Complete body with which an endpoint instance answers a plain request.
std::string soakAnswer(const std::string &id, const std::string &instance);
/// Body of a failure with which an endpoint instance answers.
std::string soakFailure(const std::string &id, const std::string &instance);
/// Number of events of the stream.
std::uint64_t soakEvents(const std::string &id);
/// One event with its terminator; numbers begin at 1.
std::string soakEvent(const std::string &id, std::uint64_t number);

} // namespace oriolerill::standins
