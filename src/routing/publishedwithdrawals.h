#pragma once

#include "domain/configversion.h"
#include "domain/socketaddress.h"
#include "domain/strongid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace oriolerill::routing {

struct PublishedWithdrawalsOptions
{
    /// Number of agents that must state the same before it applies without the store: one agent may
    /// be wrong.
    std::size_t minAgents = 2;
    /// An agent's statement is dropped after this many complete reads of the store that do not
    /// cover its version. The first of these reads may have been sent before the change.
    std::uint32_t readsToRefute = 2;
    /// Maximum numbers of agents and of refuted versions that are kept.
    std::size_t maxAgents = 64;
    std::size_t maxRefuted = 16;
};

/// Data centres that agents state as withdrawn, from a later version of the store than this
/// process has read.
///
/// Without them, a process that cannot reach the store would send to a withdrawn data centre past
/// the operator's bound, although its peers have read the withdrawal. A data centre that has
/// returned meanwhile stays withdrawn in this process until it reads the store. No I/O.
class PublishedWithdrawals
{
public:
    explicit PublishedWithdrawals(PublishedWithdrawalsOptions options = {});

    void onPublished(domain::ConfigVersion version, std::set<domain::DataCentreId> withdrawn,
            const domain::SocketAddress &agent);
    /// The local copy covers the store up to this version: drops the statements up to it.
    void onCovered(domain::ConfigVersion version);
    /// This process has read all withdrawals from the store.
    void onStoreRead();
    /// Withdrawals that minAgents agents state alike, from the latest such version.
    std::set<domain::DataCentreId> inForce() const;

private:
    struct Statement
    {
        domain::ConfigVersion version;
        std::set<domain::DataCentreId> withdrawn;
        std::uint32_t readsSince = 0;
    };

    PublishedWithdrawalsOptions m_options;
    std::map<domain::SocketAddress, Statement> m_statements;
    /// Versions that reads of the store have refuted.
    std::set<domain::ConfigVersion> m_refuted;
};

} // namespace oriolerill::routing
