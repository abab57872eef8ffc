#include "agent/internal/enginefences.h"

namespace oriolerill::agent {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::FencingNumber;
using domain::TimePoint;

namespace {

// Each conflict means that another process has written the object since it was read.
constexpr int MaxConflicts = 3;

} // namespace

EngineFences::EngineFences(objectstore::IObjectStore &store, const domain::EndpointId &endpoint,
        domain::Incarnation incarnation)
    : m_store(store)
    , m_key("fence/" + endpoint.value())
    , m_allocator(incarnation)
{}

asio::awaitable<Expected<Done>> EngineFences::prepare(TimePoint deadline)
{
    const Expected<objectstore::StoredObject> object = co_await m_store.read(m_key, deadline);
    if (object)
        m_allocator.onRead(object->value, object->version);
    else if (object.error().kind == ErrorKind::NotFound)
        m_allocator.onAbsent();
    else
        co_return object.error();
    co_return Done();
}

asio::awaitable<Expected<Done>> EngineFences::reserve(TimePoint deadline)
{
    for (int i = 0; i < MaxConflicts; ++i) {
        if (!m_allocator.isKnown()) {
            const Expected<Done> prepared = co_await prepare(deadline);
            if (!prepared)
                co_return prepared;
        }
        if (m_allocator.isSuperseded())
            break;
        const rollout::FenceReservation reservation = m_allocator.nextReservation();
        Expected<domain::ConfigVersion> written;
        if (reservation.expected) {
            written = co_await m_store.update(
                    m_key, reservation.value, *reservation.expected, deadline);
        } else {
            written = co_await m_store.create(m_key, reservation.value, deadline);
        }
        if (written) {
            m_allocator.onReserved(*written);
            co_return Done();
        }
        // A lost answer also leaves the expected version of the next write unknown.
        m_allocator.onConflict();
        if (written.error().kind != ErrorKind::Conflict)
            co_return written.error();
    }
    co_return Error{ErrorKind::Fenced,
            "a later process has reserved the fencing numbers in " + m_key,
            "stop this process; the later one replaces it"};
}

asio::awaitable<Expected<FencingNumber>> EngineFences::next(TimePoint deadline)
{
    const Expected<Done> reserved = co_await reserve(deadline);
    if (!reserved && reserved.error().kind == ErrorKind::Fenced)
        co_return reserved.error();
    const std::optional<FencingNumber> fence = m_allocator.allocate();
    if (fence)
        co_return *fence;
    if (!reserved)
        co_return reserved.error();
    co_return Error{ErrorKind::Unavailable, "no reserved fencing number is left",
            "wait until the object store answers"};
}

} // namespace oriolerill::agent
