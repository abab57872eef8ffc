#pragma once

#include "admin/applyresult.h"
#include "admin/auditlog.h"
#include "admin/idocumentplanner.h"
#include "admin/principal.h"
#include "objectstore/iobjectstore.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace oriolerill::admin {

struct ApplyRequest
{
    std::string document;
    bool isDryRun = false;
    /// Reports a conflict instead of changing an item that exists already.
    bool onlyCreate = false;
};

/// Applies operators' documents to the object API.
///
/// Nothing is written when the document is invalid, exceeds the operator's rights or names an
/// outdated version. Writes are conditional on the versions read and stop at the first failure.
/// Applying the document again then writes the remaining items, because items that already equal it
/// are kept.
class DocumentApplier
{
public:
    DocumentApplier(
            objectstore::IObjectStore &store, const IDocumentPlanner &planner, AuditLog &audit);

    boost::asio::awaitable<ApplyResult> apply(Principal principal, ApplyRequest request,
            domain::WallTime now, domain::TimePoint deadline);

private:
    boost::asio::awaitable<domain::Expected<std::vector<CurrentItem>>> readItems(
            domain::TimePoint deadline);
    boost::asio::awaitable<void> write(
            const std::vector<PlannedItem> &items, ApplyResult &result, domain::TimePoint deadline);
    boost::asio::awaitable<domain::Expected<domain::ConfigVersion>> writeItem(
            const PlannedItem &item, domain::TimePoint deadline);
    boost::asio::awaitable<void> recordConflict(
            ItemResult &item, ApplyResult &result, domain::TimePoint deadline);

    objectstore::IObjectStore &m_store;
    const IDocumentPlanner &m_planner;
    AuditLog &m_audit;
};

} // namespace oriolerill::admin
