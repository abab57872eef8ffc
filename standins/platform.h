#pragma once

#include "objecttable.h"
#include "ratebucket.h"
#include "target.h"

#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oriolerill::standins {

struct PlatformOptions
{
    double readsPerSecond = 2000;
    double writesPerSecond = 400;
};

/// The platform's object API and VM list, with faults that are controlled over HTTP.
class Platform
{
public:
    explicit Platform(const PlatformOptions &options);

    /// Loads {"objects":[{"key","value"}],"vms":[...]}; a value that is not a string is stored as
    /// JSON text. Throws std::exception if the text is malformed.
    void loadObjects(const std::string &json);

    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    enum class Outage {
        Off,
        Refuse,
        Hang,
        Cut,
    };

    boost::asio::awaitable<void> handleCall(
            transport::HttpServerExchange &exchange, const Target &target);
    boost::asio::awaitable<void> watch(
            transport::HttpServerExchange &exchange, const Target &target);
    boost::asio::awaitable<void> answerInOutage(transport::HttpServerExchange &exchange);
    boost::asio::awaitable<void> waitForChange(domain::TimePoint deadline);
    transport::HttpResponse control(const Target &target, const transport::HttpRequest &request);
    transport::HttpResponse read(const Target &target);
    transport::HttpResponse write(const Target &target, transport::HttpRequest &request);
    transport::HttpResponse listVms();
    const ObjectTable &readable() const { return m_staleObjects ? *m_staleObjects : m_objects; }
    void setVms(std::string json);
    void wakeWatches();
    std::string counters() const;

    struct VmList
    {
        domain::TimePoint since;
        std::string json;
    };

    ObjectTable m_objects;
    std::optional<ObjectTable> m_staleObjects;
    RateBucket m_reads;
    RateBucket m_writes;
    Outage m_outage = Outage::Off;
    domain::Duration m_answerDelay = {};
    domain::Duration m_vmLag = {};
    std::int64_t m_answersToLose = 0;
    std::string m_loseAnswersPrefix;
    std::deque<VmList> m_vmLists;
    std::set<boost::asio::steady_timer *> m_waiting;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace oriolerill::standins
