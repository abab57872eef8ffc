#pragma once

#include "domain/strongid.h"
#include "domain/timepoint.h"
#include "routing/weightsrequirement.h"

#include <cstdint>
#include <functional>
#include <map>

namespace oriolerill::relay::internal {

/// Attempts that were sent to engines and have not begun there, as far as is known.
///
/// An engine must begin a request before the bound of a newer version than it serves. The bound may
/// become known, or come closer, while the request waits. Used on one thread.
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

    /// The result is for remove(), after which the attempt is not withdrawn any more.
    std::uint64_t add(Attempt attempt);
    void remove(std::uint64_t id) { m_attempts.erase(id); }
    /// Withdraws the attempts that should have begun by now.
    void withdrawOverdue(const routing::WeightsRequirement &weights, domain::TimePoint now);

private:
    std::map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_lastId = 0;
};

} // namespace oriolerill::relay::internal
