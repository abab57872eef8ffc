#pragma once

#include "domain/timepoint.h"

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace oriolerill::routing {

struct ReturnForecastOptions
{
    domain::Duration minRetryAfter = std::chrono::milliseconds(60);
    domain::Duration maxRetryAfter = std::chrono::milliseconds(1500);
    /// The largest stated time left of a route is kept for one to two of these periods.
    domain::Duration statedPeriod = std::chrono::seconds(5);
};

/// Retry-After of the refused callers of one service at one entry, and recognition of returning
/// callers.
///
/// Load pattern: several callers a second are refused for many seconds. Each takes the next slot
/// that is forecast to become free for this entry, after the callers that were given a Retry-After
/// before, so that they do not meet. Not safe for concurrent use.
class ReturnForecast
{
public:
    explicit ReturnForecast(ReturnForecastOptions options = {});

    /// Retry-After of a caller of this rank. excess is the time until the queue at the best engine
    /// is within the limit again; freePerSecond the rate of slots that become free for this entry.
    domain::Duration retryAfter(std::size_t rank, domain::Duration excess, double freePerSecond,
            std::mt19937_64 &random, domain::TimePoint now);
    /// Whether a request with this stated time left is not its caller's first attempt: callers
    /// subtract the time since their first one.
    bool isReturn(const std::string &route, domain::Duration timeLeft, domain::TimePoint now);

private:
    struct Stated
    {
        domain::Duration current = domain::Duration::zero();
        domain::Duration previous = domain::Duration::zero();
        domain::TimePoint since;
    };

    ReturnForecastOptions m_options;
    /// Times at which refused callers are expected to return, by rank.
    std::map<std::size_t, std::multiset<domain::TimePoint>> m_returns;
    std::map<std::string, Stated> m_stated;
};

} // namespace oriolerill::routing
