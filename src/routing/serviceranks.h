#pragma once

#include "routing/servingconfig.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace oriolerill::routing {

/// Urgency of a request; the account's priority goes first. Zero is the most urgent in both.
struct RequestRank
{
    std::uint32_t account = 0;
    std::uint32_t route = 0;

    friend auto operator<=>(const RequestRank &, const RequestRank &) = default;
};

RequestRank rankOf(const Route &route, const CallerAccount *account);

/// The ranks that requests of one service can have, in their order.
class ServiceRanks
{
public:
    ServiceRanks() = default;
    /// Ranks of all services that the configuration routes requests to.
    static std::map<domain::ServiceId, ServiceRanks> of(const ServingConfig &config);

    /// False where all requests are equally urgent: then nothing is ranked.
    bool areUnequal() const { return m_ranks.size() > 1; }
    std::size_t count() const { return m_ranks.size(); }
    /// Position of the rank; zero is the most urgent.
    std::size_t indexOf(const RequestRank &rank) const;
    /// Value for DispatchHead::urgency: 0 to 9.
    std::uint32_t urgency(std::size_t index) const;

    friend bool operator==(const ServiceRanks &, const ServiceRanks &) = default;

private:
    /// Accounts of equal priority are not distinguished from requests without an account.
    bool m_areAccountsRanked = false;
    std::vector<RequestRank> m_ranks;
};

} // namespace oriolerill::routing
