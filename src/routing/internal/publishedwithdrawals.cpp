#include "routing/publishedwithdrawals.h"

#include <utility>

namespace oriolerill::routing {

PublishedWithdrawals::PublishedWithdrawals(PublishedWithdrawalsOptions options)
    : m_options(options)
{}

void PublishedWithdrawals::onPublished(domain::ConfigVersion version,
        std::set<domain::DataCentreId> withdrawn, const domain::SocketAddress &agent)
{
    const bool hasRoom = m_statements.size() < m_options.maxAgents || m_statements.count(agent) > 0;
    if (!hasRoom || m_refuted.count(version) > 0)
        return;
    Statement &known = m_statements[agent];
    if (known.version != version)
        known = {version, std::move(withdrawn), 0};
}

void PublishedWithdrawals::onCovered(domain::ConfigVersion version)
{
    std::erase_if(
            m_statements, [version](const auto &entry) { return entry.second.version <= version; });
}

void PublishedWithdrawals::onStoreRead()
{
    for (auto &[agent, statement] : m_statements) {
        if (++statement.readsSince >= m_options.readsToRefute)
            m_refuted.insert(statement.version);
    }
    std::erase_if(m_statements,
            [this](const auto &entry) { return m_refuted.count(entry.second.version) > 0; });
    while (m_refuted.size() > m_options.maxRefuted)
        m_refuted.erase(m_refuted.begin());
}

std::set<domain::DataCentreId> PublishedWithdrawals::inForce() const
{
    std::map<std::pair<domain::ConfigVersion, std::set<domain::DataCentreId>>, std::size_t> agents;
    for (const auto &[agent, statement] : m_statements)
        ++agents[{statement.version, statement.withdrawn}];
    for (auto agreed = agents.rbegin(); agreed != agents.rend(); ++agreed) {
        if (agreed->second >= m_options.minAgents)
            return agreed->first.second;
    }
    return {};
}

} // namespace oriolerill::routing
