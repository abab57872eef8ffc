#include "routing/publishedwithdrawals.h"

#include <utility>

namespace oriolerill::routing {

PublishedWithdrawals::PublishedWithdrawals(PublishedWithdrawalsOptions options)
    : m_options(options)
{}

void PublishedWithdrawals::onPublished(std::uint64_t revision,
        std::set<domain::DataCentreId> withdrawn, const domain::SocketAddress &agent)
{
    const bool hasRoom = m_statements.size() < m_options.maxAgents || m_statements.count(agent) > 0;
    if (!hasRoom || m_refuted.count(revision) > 0)
        return;
    Statement &known = m_statements[agent];
    if (known.revision != revision)
        known = {revision, std::move(withdrawn), 0};
}

void PublishedWithdrawals::onCovered(std::uint64_t revision)
{
    std::erase_if(m_statements,
            [revision](const auto &entry) { return entry.second.revision <= revision; });
}

void PublishedWithdrawals::onStoreRead()
{
    for (auto &[agent, statement] : m_statements) {
        if (++statement.readsSince >= m_options.readsToRefute)
            m_refuted.insert(statement.revision);
    }
    std::erase_if(m_statements,
            [this](const auto &entry) { return m_refuted.count(entry.second.revision) > 0; });
    while (m_refuted.size() > m_options.maxRefuted)
        m_refuted.erase(m_refuted.begin());
}

std::set<domain::DataCentreId> PublishedWithdrawals::inForce() const
{
    std::map<std::pair<std::uint64_t, std::set<domain::DataCentreId>>, std::size_t> agents;
    for (const auto &[agent, statement] : m_statements)
        ++agents[{statement.revision, statement.withdrawn}];
    for (auto agreed = agents.rbegin(); agreed != agents.rend(); ++agreed) {
        if (agreed->second >= m_options.minAgents)
            return agreed->first.second;
    }
    return {};
}

} // namespace oriolerill::routing
