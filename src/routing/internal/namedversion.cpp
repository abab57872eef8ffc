#include "routing/namedversion.h"

#include <algorithm>

namespace oriolerill::routing {

namespace {

/// Longer than any bound; a larger age in a datagram would overflow the clock.
constexpr auto MaxAge = std::chrono::hours(1);

} // namespace

protocol::NamedWeights encodeNamedVersion(const NamedVersion &version, domain::TimePoint now)
{
    protocol::NamedWeights message;
    message.set_model(version.model.value());
    message.set_version(version.version);
    if (version.namedAt) {
        const auto age = std::clamp<domain::Duration>(
                now - *version.namedAt, domain::Duration::zero(), MaxAge);
        message.set_age_ms(static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
    }
    return message;
}

NamedVersion decodeNamedVersion(const protocol::NamedWeights &message, domain::TimePoint now)
{
    NamedVersion version{domain::ModelId(message.model()), message.version(), std::nullopt};
    if (message.has_age_ms()) {
        constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(MaxAge).count();
        version.namedAt = now
                - std::chrono::milliseconds(std::min<std::uint64_t>(message.age_ms(), MaxAgeMs));
    }
    return version;
}

} // namespace oriolerill::routing
