#pragma once

#include "domain/timepoint.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace oriolerill::standins {

/// Limits all callers together to a rate of bytes, in order of arrival.
class Pacer
{
public:
    /// Rate in bytes per second; 0 for no limit.
    explicit Pacer(std::uint64_t bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    {}

    void setRate(std::uint64_t bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    /// Returns when these bytes and all earlier ones have been sent at the rate.
    boost::asio::awaitable<void> take(std::uint64_t bytes);

private:
    std::uint64_t m_bytesPerSecond;
    domain::TimePoint m_freeAt;
};

} // namespace oriolerill::standins
