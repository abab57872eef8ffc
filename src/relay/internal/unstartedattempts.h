#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/weightsrequirement.h"

#include <cstdint>
#include <functional>
#include <map>

namespace oriolerill::relay::internal {

/// Attempts that were sent to engines and whose answers have not begun.
///
/// An engine must begin a request before the bound of any version newer than the one it serves. The
/// bound may become known, or move closer, while the request is queued. Not thread-safe.
class UnstartedAttempts
{
public:
    struct Attempt
    {
        domain::ModelId model;
        /// Version of the weights that the engine serves.
        std::uint64_t served = 0;
        /// Called at most once.
        std::function<void()> withdraw;
    };

    /// Returns an identifier; after remove() with it the attempt is not withdrawn any more.
    std::uint64_t add(Attempt attempt);
    void remove(std::uint64_t id) { m_attempts.erase(id); }
    /// Withdraws the attempts that had to begin before `now`.
    void withdrawOverdue(const routing::WeightsRequirement &weights, domain::TimePoint now);

private:
    std::map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_lastId = 0;
};

} // namespace oriolerill::relay::internal
