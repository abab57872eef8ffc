#pragma once

#include "domain/socketaddress.h"
#include "domain/strongid.h"

#include <cstdint>
#include <map>
#include <set>

namespace oriolerill::routing {

struct PublishedWithdrawalsOptions
{
    /// Agents that must state the same before it counts without the store: one may be wrong.
    std::size_t minAgents = 2;
    /// Whole reads of the store, since an agent's statement, that must not cover its revision
    /// before it is dropped. The first of them may have been sent before the change.
    std::uint32_t readsToRefute = 2;
    /// Maximum numbers of agents and of refuted revisions that are kept.
    std::size_t maxAgents = 64;
    std::size_t maxRefuted = 16;
};

/// Data centres that agents state as withdrawn, from a later revision of the store than this
/// process has read.
///
/// Failure: the store does not answer this process, which would send to a withdrawn data centre
/// past the operator's bound though its peers know of the withdrawal. A data centre that has
/// returned meanwhile stays withdrawn here until the process reads the store. No I/O.
class PublishedWithdrawals
{
public:
    explicit PublishedWithdrawals(PublishedWithdrawalsOptions options = {});

    void onPublished(std::uint64_t revision, std::set<domain::DataCentreId> withdrawn,
            const domain::SocketAddress &agent);
    /// The own copy covers the store up to this revision: drops the statements up to it.
    void onCovered(std::uint64_t revision);
    /// This process has read all withdrawals from the store.
    void onStoreRead();
    /// What enough agents state alike, from the latest such revision.
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
    /// Revisions that the store's answers have refuted.
    std::set<std::uint64_t> m_refuted;
};

} // namespace oriolerill::routing
