#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"

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
    /// cover its revision. The first of these reads may have been sent before the change.
    std::uint32_t readsToRefute = 2;
    /// Maximum numbers of agents and of refuted revisions that are kept.
    std::size_t maxAgents = 64;
    std::size_t maxRefuted = 16;
};

/// Data centres that agents state as withdrawn, from a later revision of the store than this
/// process has read.
///
/// Without them, a process that cannot reach the store would send to a withdrawn data centre past
/// the operator's bound, although its peers have read the withdrawal. A data centre that has
/// returned meanwhile stays withdrawn in this process until it reads the store. No I/O.
class PublishedWithdrawals
{
public:
    explicit PublishedWithdrawals(PublishedWithdrawalsOptions options = {});

    void onPublished(std::uint64_t revision, std::set<domain::DataCentreId> withdrawn,
            const domain::SocketAddress &agent);
    /// The local copy covers the store up to this revision: drops the statements up to it.
    void onCovered(std::uint64_t revision);
    /// This process has read all withdrawals from the store.
    void onStoreRead();
    /// Withdrawals that minAgents agents state alike, from the latest such revision.
    std::set<domain::DataCentreId> inForce() const;

private:
    struct Statement
    {
        std::uint64_t revision = 0;
        std::set<domain::DataCentreId> withdrawn;
        std::uint32_t readsSince = 0;
    };

    PublishedWithdrawalsOptions m_options;
    std::map<domain::SocketAddress, Statement> m_statements;
    /// Revisions that reads of the store have refuted.
    std::set<std::uint64_t> m_refuted;
};

} // namespace oriolerill::routing
