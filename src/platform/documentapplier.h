#pragma once

#include "config/applicationplan.h"
#include "platform/iobjectstore.h"

#include <string>
#include <vector>

namespace oriolerill::platform {

struct AppliedItem
{
    config::ItemKey key;
    config::ApplicationAction action = config::ApplicationAction::Skip;
    domain::ConfigVersion version;
};

/// What an application has done; when it has conflicts, applying again is safe.
struct ApplicationReport
{
    std::vector<AppliedItem> applied;
    std::vector<config::VersionConflict> conflicts;
};

/// Reads all configuration items from the store.
boost::asio::awaitable<domain::Expected<std::vector<config::ConfigItem>>> readConfigItems(
        IObjectStore &store, domain::TimePoint deadline);

/// Brings the store to the document with conditional writes. Nothing is written when a conflict is
/// known before the first write; a race in between is reported with what was written until then.
boost::asio::awaitable<domain::Expected<ApplicationReport>> applyDocument(
        IObjectStore &store, config::ConfigDocument document, domain::TimePoint deadline);

} // namespace oriolerill::platform
