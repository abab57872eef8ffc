#pragma once

#include "domain/configversion.h"
#include "domain/quantity.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::rollout {

/// The write that reserves fencing numbers; a creation when there is no expected version.
struct FenceReservation
{
    std::string value;
    std::optional<domain::ConfigVersion> expected;
};

/// Hands out the fencing numbers for the orders to one endpoint's engine.
///
/// The store holds the highest reserved number and the incarnation that reserved it. Each
/// reservation takes a block, so that a process may go on with its own block while the platform is
/// down: the next holder starts above the block, hence no number is used twice and the orders of a
/// later holder always outrank those of an earlier one. A process whose reservation was refused by
/// one of a later incarnation is superseded and gives no more orders.
class FenceAllocator
{
public:
    explicit FenceAllocator(domain::Incarnation self, std::uint64_t blockSize = DefaultBlockSize);

    /// The stored value and its version; empty when there is no object yet.
    void onRead(const std::string &value, const domain::ConfigVersion &version);
    void onAbsent();

    /// The reservation to write next; only after onRead() or onAbsent().
    FenceReservation nextReservation() const;
    void onReserved(const domain::ConfigVersion &version);
    /// The object has changed: it has to be read again.
    void onConflict() { m_isKnown = false; }

    /// True when the stored value is known, so that a reservation can be written.
    bool isKnown() const { return m_isKnown; }
    bool isSuperseded() const { return m_isSuperseded; }

    /// The next number of the own block; empty when none was confirmed, all are used, or another
    /// process has taken over.
    std::optional<domain::FencingNumber> take();

    static constexpr std::uint64_t DefaultBlockSize = 8;

private:
    domain::Incarnation m_self;
    std::uint64_t m_blockSize;
    std::uint64_t m_stored = 0;
    std::optional<domain::ConfigVersion> m_version;
    std::uint64_t m_next = 1;
    /// Last number of the own confirmed block; below m_next when there is none.
    std::uint64_t m_last = 0;
    bool m_isKnown = false;
    bool m_isSuperseded = false;
};

} // namespace oriolerill::rollout
