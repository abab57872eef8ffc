#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <cstdint>
#include <optional>

namespace oriolerill::rollout {

struct UnnamedVersionOptions
{
    /// How long an answer of the origin is valid. Longer than a request for a manifest takes, and
    /// short enough that a corrupted answer delays the engines for seconds only.
    domain::Duration originAnswerLifetime = std::chrono::milliseconds(3000);
    /// How long a peer's datagram is valid; peers send one each 400 ms.
    domain::Duration peerLifetime = std::chrono::milliseconds(1500);
};

/// The version that an engine without weights loads while the store names none.
///
/// Failure pattern: all engines of a model lose their weights before its first version is named, or
/// start without any. Then no listed VM states a version. Without I/O and clock.
class UnnamedVersion
{
public:
    explicit UnnamedVersion(UnnamedVersionOptions options = {});

    /// Versions of another model are forgotten.
    void setModel(const domain::ModelId &model);
    /// The named versions of the store have been received, even if there are none.
    void onNamedVersionsRead() { m_areNamedVersionsRead = true; }
    bool areNamedVersionsRead() const { return m_areNamedVersionsRead; }
    /// The engine of this VM serves the version, or this VM holds its manifest.
    void onConfirmed(std::uint64_t version);
    /// The origin stated its newest version.
    void onOriginAnswer(std::uint64_t version, domain::TimePoint now);
    /// A peer has the manifest of the version.
    void onPeer(std::uint64_t version, domain::TimePoint now);

    /// Zero while no version is known.
    std::uint64_t newest(domain::TimePoint now) const;
    /// Whether the origin is to be asked for its newest version.
    bool isSearchNeeded(domain::TimePoint now) const
    {
        return m_areNamedVersionsRead && newest(now) == 0;
    }

private:
    struct Statement
    {
        std::uint64_t version = 0;
        domain::TimePoint expiresAt;

        std::uint64_t valid(domain::TimePoint now) const { return now < expiresAt ? version : 0; }
    };

    UnnamedVersionOptions m_options;
    domain::ModelId m_model{""};
    bool m_areNamedVersionsRead = false;
    std::uint64_t m_confirmed = 0;
    Statement m_origin;
    Statement m_peer;
};

} // namespace oriolerill::rollout
