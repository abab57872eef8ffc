#pragma once

#include "domain/expected.h"
#include "domain/strongid.h"
#include "objectstore/iobjectstore.h"
#include "rollout/fenceallocator.h"

#include <boost/asio/awaitable.hpp>

namespace oriolerill::agent {

/// Fencing numbers for the orders to this VM's engine, from the object "fence/<endpoint id>".
///
/// Not safe for use by two coroutines at once.
class EngineFences
{
public:
    EngineFences(objectstore::IObjectStore &store, const domain::EndpointId &endpoint,
            domain::Incarnation incarnation);

    /// Reads the stored number, as a process does when it starts.
    boost::asio::awaitable<domain::Expected<domain::Done>> prepare(domain::TimePoint deadline);
    /// Reserves in the store; in an outage, falls back to the numbers reserved before. Fenced when
    /// a later process has taken over, Unavailable when no number can be had safely.
    boost::asio::awaitable<domain::Expected<domain::FencingNumber>> next(
            domain::TimePoint deadline);

private:
    boost::asio::awaitable<domain::Expected<domain::Done>> reserve(domain::TimePoint deadline);

    objectstore::IObjectStore &m_store;
    std::string m_key;
    rollout::FenceAllocator m_allocator;
};

} // namespace oriolerill::agent
