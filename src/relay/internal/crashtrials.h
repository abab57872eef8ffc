#pragma once

#include "objectstore/iobjectstore.h"
#include "routing/crashattribution.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace oriolerill::relay::internal {

struct CrashTrialsOptions
{
    /// Interval at which one entry tries to claim a trial of the same traits.
    domain::Duration claimInterval = std::chrono::seconds(10);
    /// Longer than a grant and the trial's request may take together.
    domain::Duration claimLifetime = std::chrono::seconds(60);
    /// Trials of the same whole request, by all entries for good: each may crash an engine.
    int maxRequestTrials = 2;
};

/// Claims trials of refused traits in the store, so that all entries together make at most one at a
/// time.
///
/// A claim is an object in the store that also counts the trials. It ends when it has not changed
/// for longer than a trial can take, as measured by the entry that wants the next one: clocks of
/// VMs are not compared.
///
/// A store that returns from an older copy may have lost a claim, or hold a claim that had been
/// replaced. A lost claim leaves room for one more trial while the first is in progress; a claim
/// that is read in another era counts as one that was just written.
class CrashTrials
{
public:
    CrashTrials(boost::asio::io_context &context, objectstore::IObjectStore &store,
            routing::CrashAttribution &crashes, domain::EntryId entry,
            CrashTrialsOptions options = {});

    /// Claims a trial unless that was tried a short time ago; grants it to this entry's next
    /// request with the traits.
    void request(const routing::RefusedTraits &refused);

private:
    struct Claim
    {
        domain::TimePoint nextTryAt;
        /// Another entry's claim, and when this entry first saw it.
        std::optional<domain::ConfigVersion> seen;
        domain::TimePoint seenAt;
    };

    boost::asio::awaitable<void> tryToClaim(routing::RefusedTraits refused);
    boost::asio::awaitable<bool> write(const std::string &key, bool isWholeRequest);
    boost::asio::awaitable<bool> replace(const std::string &key, bool isWholeRequest);

    boost::asio::io_context &m_context;
    objectstore::IObjectStore &m_store;
    routing::CrashAttribution &m_crashes;
    domain::EntryId m_entry;
    CrashTrialsOptions m_options;
    std::map<std::string, Claim> m_claims;
};

} // namespace oriolerill::relay::internal
