#pragma once

#include "domain/expected.h"
#include "domain/strongid.h"
#include "objectstore/iobjectstore.h"
#include "rollout/fenceallocator.h"

#include <boost/asio/awaitable.hpp>

namespace oriolerill::agent {

/// Allocates fencing numbers for load orders to this VM's engine. The store object
/// "fence/<endpoint id>" holds the highest reserved number.
///
/// Not safe for concurrent use by two coroutines.
class EngineFences
{
public:
    EngineFences(objectstore::IObjectStore &store, const domain::EndpointId &endpoint,
            domain::Incarnation incarnation);

    /// Reads the stored number; called when the process starts.
    boost::asio::awaitable<domain::Expected<domain::Done>> prepare(domain::TimePoint deadline);
    /// Reserves numbers in the store; in an outage, uses the numbers reserved before. Fails with
    /// Fenced when a later process has taken over, with Unavailable or the store's error when no
    /// reserved number is left.
    boost::asio::awaitable<domain::Expected<domain::FencingNumber>> next(
            domain::TimePoint deadline);

private:
    boost::asio::awaitable<domain::Expected<domain::Done>> reserve(domain::TimePoint deadline);

    objectstore::IObjectStore &m_store;
    std::string m_key;
    rollout::FenceAllocator m_allocator;
};

} // namespace oriolerill::agent
