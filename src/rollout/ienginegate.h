#pragma once

#include "domain/digest.h"

#include <cstddef>
#include <cstdint>

namespace oriolerill::rollout {

/// Whether this VM's endpoint admits attempts, and the weights that they run on.
struct GateState
{
    bool isOpen = false;
    /// Weights that the engine has loaded; none for plain services.
    domain::Digest activeDigest;
    /// Incremented when the weights change or may have changed; an attempt whose epoch at the end
    /// differs from that at its start may have run on other weights.
    std::uint64_t epoch = 0;
};

/// Admits attempts to this VM's endpoint; closed while the engine carries out an order.
///
/// An attempt enters before it is sent to the endpoint and leaves after the last byte of its
/// answer, so that a switch of weights waits for it.
class IEngineGate
{
public:
    virtual ~IEngineGate() = default;

    virtual GateState state() const = 0;
    /// Admits an attempt and returns the state; a closed gate does not admit it.
    virtual GateState enter() = 0;
    virtual void leave() = 0;
    virtual std::size_t admittedAttempts() const = 0;
};

} // namespace oriolerill::rollout
