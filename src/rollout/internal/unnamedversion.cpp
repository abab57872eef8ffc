#include "rollout/unnamedversion.h"

#include <algorithm>

namespace oriolerill::rollout {

using domain::TimePoint;

UnnamedVersion::UnnamedVersion(UnnamedVersionOptions options)
    : m_options(options)
{}

void UnnamedVersion::setModel(const domain::ModelId &model)
{
    if (model == m_model)
        return;
    m_model = model;
    m_confirmed = 0;
    m_origin = {};
    m_peer = {};
}

void UnnamedVersion::onConfirmed(std::uint64_t version)
{
    m_confirmed = std::max(m_confirmed, version);
}

void UnnamedVersion::onOriginAnswer(std::uint64_t version, TimePoint now)
{
    // Replaces an earlier answer, which may have been corrupted.
    m_origin = {version, now + m_options.originAnswerLifetime};
}

void UnnamedVersion::onPeer(std::uint64_t version, TimePoint now)
{
    if (version >= m_peer.valid(now))
        m_peer = {version, now + m_options.peerLifetime};
}

std::uint64_t UnnamedVersion::newest(TimePoint now) const
{
    // The store may name a newer version than any that is known here.
    if (!m_areNamedVersionsRead)
        return 0;
    return std::max({m_confirmed, m_origin.valid(now), m_peer.valid(now)});
}

} // namespace oriolerill::rollout
