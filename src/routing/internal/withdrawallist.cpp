#include "routing/withdrawallist.h"

#include <algorithm>
#include <utility>

namespace oriolerill::routing {

WithdrawalList::WithdrawalList(WithdrawalListOptions options)
    : m_options(options)
{}

void WithdrawalList::replaceAll(std::set<domain::DataCentreId> withdrawn, domain::TimePoint now)
{
    if (now < m_returnRetentionUntil) {
        for (const domain::DataCentreId &dataCentre : m_listed) {
            if (withdrawn.count(dataCentre) == 0)
                m_retainedUntil.try_emplace(dataCentre, m_returnRetentionUntil);
        }
    }
    for (const domain::DataCentreId &dataCentre : withdrawn)
        m_retainedUntil.erase(dataCentre);
    m_listed = std::move(withdrawn);
}

void WithdrawalList::onWithdrawn(const domain::DataCentreId &dataCentre)
{
    m_listed.insert(dataCentre);
    m_retainedUntil.erase(dataCentre);
}

void WithdrawalList::onReturned(const domain::DataCentreId &dataCentre)
{
    m_listed.erase(dataCentre);
    m_retainedUntil.erase(dataCentre);
}

void WithdrawalList::onEraChanged(domain::TimePoint now)
{
    m_returnRetentionUntil = now + m_options.returnRetention;
}

std::set<domain::DataCentreId> WithdrawalList::inForce(domain::TimePoint now) const
{
    std::set<domain::DataCentreId> inForce = m_listed;
    for (const auto &[dataCentre, until] : m_retainedUntil) {
        if (now < until)
            inForce.insert(dataCentre);
    }
    return inForce;
}

domain::TimePoint WithdrawalList::retainedUntil() const
{
    domain::TimePoint last = domain::TimePoint::min();
    for (const auto &[dataCentre, until] : m_retainedUntil)
        last = std::max(last, until);
    return last;
}

} // namespace oriolerill::routing
