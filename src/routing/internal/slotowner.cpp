#include "routing/slotowner.h"

#include "domain/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace oriolerill::routing {

namespace {

template<class Id>
std::optional<Id> highestWeight(const std::string &key, const std::vector<Id> &members)
{
    const auto best
            = std::max_element(members.begin(), members.end(), [&](const Id &a, const Id &b) {
                  const std::uint64_t weightOfA = domain::rendezvousWeight(key, a.value());
                  const std::uint64_t weightOfB = domain::rendezvousWeight(key, b.value());
                  return weightOfA != weightOfB ? weightOfA < weightOfB : a < b;
              });
    return best == members.end() ? std::nullopt : std::optional<Id>(*best);
}

std::string slotKey(const domain::ServiceId &service, std::uint32_t slot)
{
    return service.value() + '/' + std::to_string(slot);
}

} // namespace

std::uint32_t orderSlot(const domain::AccountId &account, const domain::IdempotencyKey &key,
        std::uint32_t ledgerSlots)
{
    std::string text = account.value();
    text += '\0';
    text += key.value();
    const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    return static_cast<std::uint32_t>(hash % std::max(1U, ledgerSlots));
}

std::optional<domain::DataCentreId> slotDataCentre(const domain::ServiceId &service,
        std::uint32_t slot, const std::vector<domain::DataCentreId> &serving)
{
    return highestWeight(slotKey(service, slot), serving);
}

std::optional<domain::EndpointId> slotEndpoint(const domain::ServiceId &service, std::uint32_t slot,
        const std::vector<domain::EndpointId> &serving)
{
    return highestWeight(slotKey(service, slot), serving);
}

} // namespace oriolerill::routing
