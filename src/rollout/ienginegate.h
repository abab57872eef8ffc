#pragma once

#include "domain/digest.h"

#include <cstddef>
#include <cstdint>

namespace oriolerill::rollout {

/// State of the admission to this VM's endpoint.
struct GateState
{
    bool isOpen = false;
    /// Weights that the engine has loaded; none for plain services.
    domain::Digest activeDigest;
    /// Changes whenever the gate closes or the digest changes; an attempt that sees another value
    /// at its end than at its start may have run on other weights.
    std::uint64_t epoch = 0;
};

/// Admission to the endpoint of this VM; closed while an engine order is carried out.
///
/// An attempt enters before it is sent to the endpoint and leaves after its last byte, so that a
/// switch of weights waits for it.
class IEngineGate
{
public:
    virtual ~IEngineGate() = default;

    virtual GateState state() const = 0;
    /// Counts an attempt in and yields the state; not counted in when the gate is closed.
    virtual GateState enter() = 0;
    virtual void leave() = 0;
    virtual std::size_t entered() const = 0;
};

} // namespace oriolerill::rollout
