#pragma once

#include "domain/timepoint.h"
#include "soakjournal.h"
#include "transport/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oriolerill::standins {

/// The platform's metadata store with injected faults: lists, watches and revisions over HTTP.
class SoakStore
{
public:
    enum class Fault { None, Refusing, Resetting, Unresponsive, Slow, AnswersLost };

    /// Objects on one page of a list; small, so that lists have more than one page.
    static constexpr std::size_t PageSize = 4;

    SoakStore(boost::asio::io_context &context, SoakJournal &journal, std::uint64_t seed);

    /// Listens on two addresses; processes that use the second one can be left without answers
    /// while the others are served.
    domain::Expected<domain::Done> start(
            const domain::SocketAddress &address, const domain::SocketAddress &secondAddress);

    /// False while the store is down and accepts no writes.
    bool isAccepting() const
    {
        return m_fault != Fault::Refusing && m_fault != Fault::Unresponsive
                && m_fault != Fault::Resetting;
    }
    /// Writes an object, acknowledged by the return. Callers check isAccepting() before.
    void put(const std::string &kind, const std::string &name, boost::json::object spec);
    void remove(const std::string &kind, const std::string &name);

    boost::asio::awaitable<void> fail(Fault fault, domain::Duration time);
    /// Calls at the second address get no answer during the time, waiting watches neither. This is
    /// no fault of the store but of the processes that use the address.
    boost::asio::awaitable<void> silenceSecondAddress(domain::Duration time);
    bool isSecondAddressSilent() const { return m_isSecondSilent; }
    /// Discards the history, so that watches from an earlier revision get 410.
    void discardHistory();
    void resetConnections();
    /// Ends the waiting watches of the kinds: some by a reset, the others by an answer without
    /// changes. No fault: the platform may end a waiting watch at any time.
    void cutWatches(const std::set<std::string> &kinds);
    bool isFailing() const { return m_fault != Fault::None; }

    /// Goes away for the time and returns with the objects and the revision of its copy, whose age
    /// counts from now. Revisions after it are given out again, and the era rises by one.
    boost::asio::awaitable<void> restoreOlderCopy(domain::Duration age, domain::Duration awayTime);
    /// Number of the store's state, which rises with each return from an older copy.
    std::uint64_t era() const { return m_era; }
    std::uint64_t revision() const { return m_revision; }
    /// Specification of an object; nullptr when there is none.
    const boost::json::object *find(const std::string &kind, const std::string &name) const;
    /// Names of the kind's objects.
    std::vector<std::string> names(const std::string &kind) const;

private:
    static constexpr std::uint64_t FirstRevision = 7;

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::object object;
        bool isDeleted = false;
        domain::TimePoint time;
    };

    /// All changes until the end of an earlier era.
    struct Era
    {
        domain::TimePoint end;
        std::deque<Change> history;
    };

    boost::asio::awaitable<void> answer(transport::HttpServerExchange &exchange, bool isSecond);
    /// No response for a watch whose connection is to be reset.
    boost::asio::awaitable<std::optional<transport::HttpResponse>> handle(std::string target);
    boost::asio::awaitable<std::optional<transport::HttpResponse>> watch(
            std::string kind, std::string target);
    transport::HttpResponse list(const std::string &kind, const std::string &target) const;
    /// Changes to the objects as they were at the time, which may be in an earlier era.
    void revertTo(domain::TimePoint time);
    void record(const std::string &kind, boost::json::object object, bool isDeleted);
    static boost::json::object objectOf(
            const std::string &name, std::uint64_t revision, boost::json::object spec);

    SoakJournal &m_journal;
    std::mt19937_64 m_random;
    Fault m_fault = Fault::None;
    std::map<std::string, std::map<std::string, boost::json::object>> m_objects;
    /// All changes; watches get those after the discarded revision only.
    std::deque<Change> m_history;
    std::vector<Era> m_earlierEras;
    std::uint64_t m_revision = FirstRevision;
    std::uint64_t m_era = 1;
    std::uint64_t m_discardedRevision = 0;
    /// How often the watches of each kind were cut.
    std::map<std::string, std::uint64_t> m_watchCuts;
    bool m_isSecondSilent = false;
    transport::HttpServer m_server;
    transport::HttpServer m_secondServer;
};

} // namespace oriolerill::standins
