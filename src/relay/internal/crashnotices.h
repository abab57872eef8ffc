#pragma once

#include "protocol/control.pb.h"
#include "relay/internal/relaycontext.h"

namespace oriolerill::relay::internal {

/// Records that an engine's process ended before the answer to a request had begun. Logs the crash
/// and what it decides, and notifies the other entries.
void applyCrash(RelayContext &context, routing::EngineCrash crash);
/// Records that an answer to a prompt with these traits has begun.
void applyAnswerBegun(RelayContext &context, const std::vector<routing::RequestTrait> &traits,
        std::uint64_t weightsVersion);
/// Applies what other entries have observed.
void applyEvidence(RelayContext &context, const protocol::CrashEvidence &evidence);
/// Removes expired evidence, once a second until the context stops.
boost::asio::awaitable<void> expireEvidence(RelayContext &context);

std::string toText(const routing::RequestTrait &trait);
/// The first traits, for log lines and messages.
std::string toText(const std::vector<routing::RequestTrait> &traits);
/// Engines and requests of the first crashes, for log lines and messages.
std::string toText(const std::vector<routing::EngineCrash> &crashes);

} // namespace oriolerill::relay::internal
