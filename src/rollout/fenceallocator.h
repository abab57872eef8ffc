#pragma once

#include "domain/configversion.h"
#include "domain/quantity.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolerill::rollout {

/// The write that reserves fencing numbers; creates the object when there is no expected version.
struct FenceReservation
{
    std::string value;
    std::optional<domain::ConfigVersion> expected;
};

/// Allocates the fencing numbers of the orders to one endpoint's engine.
///
/// The store holds the highest reserved number and the incarnation that reserved it. Each
/// reservation covers a block of numbers, so that a process can send orders while the platform is
/// unreachable. The next holder's block starts above it: no number is used twice, and orders of a
/// later holder always have higher numbers than those of an earlier one. A process that reads a
/// reservation of a later incarnation is superseded and allocates no more numbers.
class FenceAllocator
{
public:
    explicit FenceAllocator(domain::Incarnation self, std::uint64_t blockSize = DefaultBlockSize);

    /// The stored value and its version; empty when there is no object yet.
    void onRead(const std::string &value, const domain::ConfigVersion &version);
    void onAbsent();

    /// The reservation to write next; requires isKnown().
    FenceReservation nextReservation() const;
    void onReserved(const domain::ConfigVersion &version);
    /// The stored object was changed by another process and must be read again.
    void onConflict() { m_isKnown = false; }

    /// True when the stored value and version are current, so that a reservation can be written.
    bool isKnown() const { return m_isKnown; }
    bool isSuperseded() const { return m_isSuperseded; }

    /// The next number of the reserved block; empty when no reservation is confirmed, all numbers
    /// are used, or another process has reserved since.
    std::optional<domain::FencingNumber> allocate();

    static constexpr std::uint64_t DefaultBlockSize = 8;

private:
    domain::Incarnation m_self;
    std::uint64_t m_blockSize;
    std::uint64_t m_stored = 0;
    std::optional<domain::ConfigVersion> m_version;
    std::uint64_t m_next = 1;
    /// Last number of the confirmed block; below m_next when there is none.
    std::uint64_t m_last = 0;
    bool m_isKnown = false;
    bool m_isSuperseded = false;
};

} // namespace oriolerill::rollout
