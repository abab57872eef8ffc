#include "relay/internal/storeupdates.h"

#include "config/versiontext.h"

#include <algorithm>
#include <utility>

namespace oriolerill::relay::internal {

using domain::TimePoint;

namespace {

/// The links' MTU of 1500 bytes less the headers and the message around the part.
constexpr std::size_t MaxPartBytes = 1200;
/// Each part goes to every entry of the data centre through one agent's link: 16 parts to 30
/// entries take half a second at 9.4 Mbit/s. Larger changes are fetched from the publisher.
constexpr std::size_t MaxParts = 16;
/// Parts of the same changes arrive within milliseconds; incomplete changes are evicted after this
/// time.
constexpr auto PartialLifetime = std::chrono::milliseconds(2000);
constexpr std::size_t MaxPartials = 32;
/// Of a copy that was never proved, or not for longer.
constexpr auto MaxProofAge = std::chrono::milliseconds(3600 * 1000);

} // namespace

std::vector<protocol::StoreChanges> splitChanges(const PublishedChanges &published)
{
    std::vector<protocol::StoreChanges> parts(1);
    std::size_t bytes = 0;
    for (const objectstore::StoredObject &object : published.changes.objects) {
        protocol::ChangedObject changed;
        changed.set_key(object.key);
        config::toProtocol(object.version, changed.mutable_version());
        changed.set_deleted(object.isDeleted);
        if (!object.isDeleted)
            changed.set_value(object.value);
        const std::size_t size = changed.ByteSizeLong();
        if (size > MaxPartBytes)
            return {};
        if (bytes + size > MaxPartBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        *parts.back().add_objects() = std::move(changed);
    }
    if (parts.size() > MaxParts)
        return {};
    const TimePoint now = TimePoint::clock::now();
    // Rounded up: a copy must not appear newer than it is.
    const auto proofAge = std::chrono::ceil<std::chrono::milliseconds>(
            now - std::min(published.provenAt.value_or(now), now));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].set_collection(published.collection);
        config::toProtocol(published.after, parts[i].mutable_after());
        config::toProtocol(published.changes.storeVersion, parts[i].mutable_up_to());
        parts[i].set_part(static_cast<std::uint32_t>(i));
        parts[i].set_parts(static_cast<std::uint32_t>(parts.size()));
        parts[i].set_is_omitted(published.isOmitted);
        parts[i].set_proof_age_ms(static_cast<std::uint32_t>(
                std::min<std::int64_t>(proofAge.count(), MaxProofAge.count())));
    }
    return parts;
}

std::optional<PublishedChanges> StoreUpdateAssembler::add(
        const protocol::StoreChanges &part, domain::TimePoint now)
{
    std::erase_if(m_partials,
            [now](const auto &partial) { return now - partial.second.at > PartialLifetime; });
    if (part.parts() == 0 || part.parts() > MaxParts || part.part() >= part.parts())
        return std::nullopt;
    const domain::ConfigVersion after = config::fromProtocol(part.after());
    const domain::ConfigVersion upTo = config::fromProtocol(part.up_to());
    const Key key{part.collection(), after, upTo, part.parts()};
    if (m_partials.size() >= MaxPartials && m_partials.count(key) == 0)
        return std::nullopt;
    Partial &partial = m_partials[key];
    partial.at = now;
    partial.parts[part.part()] = part;
    if (partial.parts.size() < part.parts())
        return std::nullopt;
    PublishedChanges published{part.collection(), after, {}, part.is_omitted(),
            now - std::chrono::milliseconds(part.proof_age_ms())};
    published.changes.storeVersion = upTo;
    for (const auto &[number, one] : partial.parts) {
        for (const protocol::ChangedObject &object : one.objects()) {
            published.changes.objects.push_back({object.key(), object.value(),
                    config::fromProtocol(object.version()), object.deleted()});
        }
    }
    m_partials.erase(key);
    return published;
}

} // namespace oriolerill::relay::internal
