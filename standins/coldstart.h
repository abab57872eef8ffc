#pragma once

#include <cstdint>

namespace oriolerill::standins {

struct CapacityOptions
{
    /// Concurrent requests when warm.
    std::uint32_t warm = 16;
    /// Concurrent requests just after a cold start; equal to `warm` without a cold start.
    std::uint32_t cold = 2;
    /// Finished requests that raise the capacity of a cold endpoint by one.
    std::uint32_t requestsPerStep = 4;
};

/// Capacity of an endpoint that accepts little load after a start and fails above its capacity.
class ColdStart
{
public:
    enum class Admission {
        Admitted,
        /// A warm endpoint is at its capacity.
        Full,
        /// A cold endpoint was loaded above its capacity; the cold start begins again.
        Overrun,
    };

    explicit ColdStart(const CapacityOptions &options);

    Admission begin();
    void end();
    /// Begins a cold start.
    void makeCold();

    /// Factor on the time of answers; above 1 for the next requests after an overrun.
    std::uint32_t slowdownFactor() const;
    std::uint32_t inFlight() const { return m_inFlight; }
    std::uint32_t capacity() const;
    std::uint64_t overruns() const { return m_overruns; }

private:
    CapacityOptions m_options;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_finished = 0;
    std::uint32_t m_slowRequests = 0;
    std::uint64_t m_overruns = 0;
};

} // namespace oriolerill::standins
