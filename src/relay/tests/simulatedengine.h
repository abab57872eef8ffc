#pragma once

#include "routing/endpointlist.h"
#include "routing/endpointload.h"

#include <map>
#include <optional>
#include <vector>

namespace oriolerill::relay {

/// A model engine with its queue and the link to it, in simulated time. Without I/O and clock.
class SimulatedEngine
{
public:
    struct Link
    {
        domain::Duration transit = std::chrono::milliseconds(1);
        /// Bytes on the link are held from then on; answers are not.
        std::optional<domain::TimePoint> holdsFrom;
        domain::Duration holdTime = {};
        /// Each byte is held for holdTime, until the end; otherwise the link passes everything on
        /// after holdTime.
        bool isLasting = false;
    };
    struct Options
    {
        int number = 0;
        std::string dataCentre;
        Link link;
        /// Version of the weights that the engine serves from each time on.
        std::map<domain::TimePoint, std::uint64_t> versions;
        /// Wait of a request that arrives, and by how much that and the waits of queued requests
        /// grow at growsAt.
        domain::Duration queue = {};
        domain::Duration growth = {};
        domain::TimePoint growsAt;
        /// Age of the state in a report when it is received.
        domain::Duration reportLag = std::chrono::milliseconds(100);
        /// A closed connection removes its request from the queue.
        bool isCloseHonoured = true;
    };
    enum class EventKind { Begun, Refused, Completed };
    struct Event
    {
        std::uint64_t request;
        EventKind kind;
        domain::TimePoint at;
        /// Version of the weights with which the request has begun.
        std::uint64_t version;
    };

    static routing::EngineSpeed speed();
    static domain::ModelId model() { return domain::ModelId("m"); }

    explicit SimulatedEngine(Options options)
        : m_options(std::move(options))
    {}

    const Options &options() const { return m_options; }
    domain::EndpointId id() const;
    domain::SocketAddress address() const;
    routing::ListedEndpoint listedAt(domain::TimePoint time) const;
    /// The report that is received at this time.
    routing::EngineReport reportAt(domain::TimePoint time) const;
    std::uint64_t versionAt(domain::TimePoint time) const;

    /// The engine refuses the request if the time given passes while it is queued, or if it serves
    /// another version than the expected one.
    void send(std::uint64_t request, domain::Duration timeGiven,
            std::optional<std::uint64_t> expectedVersion, domain::TimePoint now);
    /// Closes the connection of a request.
    void close(std::uint64_t request, domain::TimePoint now);
    /// What has happened at the engine up to this time.
    std::vector<Event> advance(domain::TimePoint now);

private:
    struct Request
    {
        domain::TimePoint beginsAt;
        domain::TimePoint refusedAt;
        domain::TimePoint completedAt;
        domain::TimePoint closedAt;
        bool hasBegun;
    };

    domain::TimePoint arrivalOf(domain::TimePoint sentAt);
    domain::Duration queueAt(domain::TimePoint time) const;

    Options m_options;
    std::map<std::uint64_t, Request> m_requests;
    domain::TimePoint m_lastArrival;
};

} // namespace oriolerill::relay
