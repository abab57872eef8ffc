#pragma once

#include "domain/strongid.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolerill::routing {

/// Slot of the order ledger for an account's idempotency key; the same in every process.
std::uint32_t orderSlot(const domain::AccountId &account, const domain::IdempotencyKey &key,
        std::uint32_t ledgerSlots);

/// Data centre that owns the slot, of those that serve the service now; none when there are none.
std::optional<domain::DataCentreId> slotDataCentre(const domain::ServiceId &service,
        std::uint32_t slot, const std::vector<domain::DataCentreId> &serving);

/// Endpoint that owns the slot, of those of the owning data centre; none when there are none.
std::optional<domain::EndpointId> slotEndpoint(const domain::ServiceId &service, std::uint32_t slot,
        const std::vector<domain::EndpointId> &serving);

} // namespace oriolerill::routing
