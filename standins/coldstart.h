#pragma once

#include <cstdint>

namespace oriolerill::standins {

struct CapacityOptions
{
    /// Requests at once when warm.
    std::uint32_t warm = 16;
    /// Requests at once just after a cold start; equal to warm for an endpoint without one.
    std::uint32_t cold = 2;
    /// Finished requests that raise the capacity of a cold endpoint by one.
    std::uint32_t requestsPerStep = 4;
};

/// Capacity of an endpoint that bears little load at first and fails when it gets more.
class ColdStart
{
public:
    enum class Admission {
        Admitted,
        /// Above the capacity of a warm endpoint.
        Full,
        /// A cold endpoint got more than it bears; it falls back to the start.
        Overrun,
    };

    explicit ColdStart(const CapacityOptions &options);

    Admission begin();
    void end();
    /// Makes the endpoint cold.
    void makeCold();

    /// Factor by which answers are slower; high for a while after an overrun.
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
