#include "soakstore.h"

#include "platform/names.h"
#include "platform/tests/standinfleet.h"
#include "program.h"
#include "transport/percentencoding.h"

#include <algorithm>

namespace oriolerill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
namespace names = platform::names;
using domain::TimePoint;
using platform::queryNumber;
using transport::HttpResponse;
using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 5ms;
/// Longer than any deadline of a client, so that the connection returns no answer in time.
constexpr auto LostAnswerDelay = 20s;
/// Maximum wait of a watch in the platform's interface.
constexpr std::uint64_t MaxWaitMs = 30000;
/// Header field of all answers with the era of the store.
constexpr std::string_view EraField = "Store-Era";

HttpResponse jsonResponse(const json::object &body)
{
    HttpResponse response;
    response.fields.add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

} // namespace

SoakStore::SoakStore(asio::io_context &context, SoakJournal &journal, std::uint64_t seed)
    : m_journal(journal)
    , m_random(seed)
    , m_server(context.get_executor(), {})
    , m_secondServer(context.get_executor(), {})
{}

domain::Expected<domain::Done> SoakStore::start(
        const domain::SocketAddress &address, const domain::SocketAddress &secondAddress)
{
    const auto handlerFor = [this](bool isSecond) {
        return [this, isSecond](transport::HttpServerExchange &exchange) {
            return answer(exchange, isSecond);
        };
    };
    if (const auto started = m_server.start(address, handlerFor(false)); !started)
        return started.error();
    if (const auto started = m_secondServer.start(secondAddress, handlerFor(true)); !started)
        return started.error();
    return domain::Done{};
}

json::object SoakStore::objectOf(const std::string &name, std::uint64_t revision, json::object spec)
{
    return {{"metadata", json::object{{"name", name}, {"revision", revision}}},
            {"spec", std::move(spec)}};
}

void SoakStore::put(const std::string &kind, const std::string &name, json::object spec)
{
    ++m_revision;
    json::object object = objectOf(name, m_revision, std::move(spec));
    m_objects[kind][name] = object;
    record(kind, std::move(object), false);
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    ++m_revision;
    json::object object = found->second;
    m_objects[kind].erase(found);
    record(kind, std::move(object), true);
}

void SoakStore::record(const std::string &kind, json::object object, bool isDeleted)
{
    m_history.push_back({m_revision, kind, std::move(object), isDeleted, TimePoint::clock::now()});
}

void SoakStore::discardHistory()
{
    m_journal.instantFault("store", "history discarded");
    m_discardedRevision = m_revision;
}

void SoakStore::resetConnections()
{
    m_journal.instantFault("store", "connections reset");
    m_server.closeAll();
    m_secondServer.closeAll();
}

void SoakStore::cutWatches(const std::set<std::string> &kinds)
{
    std::string names;
    for (const std::string &kind : kinds) {
        ++m_watchCuts[kind];
        names += ' ' + kind;
    }
    m_journal.log("store cuts the watches of" + names);
}

asio::awaitable<void> SoakStore::fail(Fault fault, domain::Duration time)
{
    static const std::map<Fault, std::string> descriptions = {{Fault::Refusing, "answers 503"},
            {Fault::Resetting, "resets each call"}, {Fault::Unresponsive, "silent"},
            {Fault::Slow, "slow"}, {Fault::AnswersLost, "loses answers"}};
    m_journal.beginFault("store-answers", descriptions.at(fault));
    m_fault = fault;
    if (fault == Fault::Resetting) {
        m_server.closeAll();
        m_secondServer.closeAll();
    }
    co_await sleepFor(time);
    m_fault = Fault::None;
    m_journal.endFault("store-answers");
}

asio::awaitable<void> SoakStore::restoreOlderCopy(domain::Duration age, domain::Duration awayTime)
{
    const TimePoint copiedAt = TimePoint::clock::now() - age;
    const std::uint64_t lostRevision = m_revision;
    m_journal.beginFault("store-answers", "away");
    m_fault = Fault::Resetting;
    m_server.closeAll();
    m_secondServer.closeAll();
    co_await sleepFor(awayTime);
    revertTo(copiedAt);
    m_fault = Fault::None;
    m_journal.endFault("store-answers");
    m_journal.log("the store returns with a copy from "
            + std::to_string(std::chrono::duration<double>(age).count())
            + " s before it went away, revision " + std::to_string(m_revision) + " instead of "
            + std::to_string(lostRevision) + ", era " + std::to_string(m_era));
}

void SoakStore::revertTo(TimePoint time)
{
    m_earlierEras.push_back({TimePoint::clock::now(), m_history});
    m_history = std::find_if(m_earlierEras.begin(), m_earlierEras.end(), [time](const Era &era) {
        return era.end > time;
    })->history;
    while (!m_history.empty() && m_history.back().time > time)
        m_history.pop_back();
    m_revision = m_history.empty() ? FirstRevision : m_history.back().revision;
    m_discardedRevision = std::min(m_discardedRevision, m_revision);
    m_objects.clear();
    for (const Change &change : m_history) {
        const std::string name(change.object.at("metadata").at("name").as_string());
        if (change.isDeleted)
            m_objects[change.kind].erase(name);
        else
            m_objects[change.kind][name] = change.object;
    }
    ++m_era;
}

const json::object *SoakStore::find(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return nullptr;
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nullptr : &found->second.at("spec").as_object();
}

std::vector<std::string> SoakStore::names(const std::string &kind) const
{
    std::vector<std::string> names;
    if (const auto objects = m_objects.find(kind); objects != m_objects.end()) {
        for (const auto &[name, object] : objects->second)
            names.push_back(name);
    }
    return names;
}

asio::awaitable<void> SoakStore::silenceSecondAddress(domain::Duration time)
{
    m_isSecondSilent = true;
    co_await sleepFor(time);
    m_isSecondSilent = false;
}

asio::awaitable<void> SoakStore::answer(transport::HttpServerExchange &exchange, bool isSecond)
{
    const std::string target = exchange.request().target;
    HttpResponse response;
    if (m_fault == Fault::Resetting) {
        exchange.abort();
        co_return;
    }
    if (m_fault == Fault::Slow) {
        const std::chrono::milliseconds delay(
                std::uniform_int_distribution<int>(200, 3000)(m_random));
        co_await sleepFor(delay);
    }
    if (m_fault == Fault::Refusing) {
        response.status = 503;
    } else {
        auto handled = co_await handle(target);
        if (!handled) {
            exchange.abort();
            co_return;
        }
        response = std::move(*handled);
    }
    constexpr unsigned OneIn = 3;
    const bool isLost = m_fault == Fault::Unresponsive || (isSecond && m_isSecondSilent)
            || (m_fault == Fault::AnswersLost && m_random() % OneIn == 0);
    if (isLost) {
        co_await sleepFor(LostAnswerDelay);
        exchange.abort();
        co_return;
    }
    response.fields.add(std::string(EraField), std::to_string(m_era));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<std::optional<HttpResponse>> SoakStore::handle(std::string target)
{
    HttpResponse notFound;
    notFound.status = 404;
    if (!target.starts_with(names::Objects))
        co_return notFound;
    std::string kind = target.substr(names::Objects.size());
    kind = kind.substr(0, kind.find('?'));
    if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
        const std::string name = kind.substr(slash + 1);
        const auto &objects = m_objects[kind.substr(0, slash)];
        const auto found = objects.find(name);
        if (found == objects.end())
            co_return notFound;
        co_return jsonResponse(found->second);
    }
    if (target.find("watch=") == std::string::npos)
        co_return list(kind, target);
    co_return co_await watch(kind, target);
}

HttpResponse SoakStore::list(const std::string &kind, const std::string &target) const
{
    const std::size_t at = target.find("after=");
    const std::string after = at == std::string::npos
            ? ""
            : transport::percentDecoded(target.substr(at + 6, target.find('&', at) - at - 6));
    json::array items;
    bool hasMore = false;
    if (const auto found = m_objects.find(kind); found != m_objects.end()) {
        for (auto object = found->second.upper_bound(after); object != found->second.end();
                ++object) {
            hasMore = items.size() == PageSize;
            if (hasMore)
                break;
            items.push_back(object->second);
        }
    }
    return jsonResponse(
            {{"items", std::move(items)}, {"more_pages", hasMore}, {"current_rev", m_revision}});
}

asio::awaitable<std::optional<HttpResponse>> SoakStore::watch(std::string kind, std::string target)
{
    const std::uint64_t cuts = m_watchCuts[kind];
    const std::uint64_t after = queryNumber(target, "watch");
    const std::uint64_t waitMs = std::min(queryNumber(target, "wait_ms"), MaxWaitMs);
    const TimePoint end = TimePoint::clock::now() + std::chrono::milliseconds(waitMs);
    json::array events;
    for (;;) {
        // Revisions above the current one are those of an earlier era.
        if (after < m_discardedRevision || after > m_revision) {
            HttpResponse gone;
            gone.status = 410;
            co_return gone;
        }
        for (const Change &change : m_history) {
            if (change.revision > after && change.kind == kind)
                events.push_back(
                        json::object{{"object", change.object}, {"deleted", change.isDeleted}});
        }
        const bool isCut = cuts != m_watchCuts[kind];
        if (isCut && m_random() % 2 == 0)
            co_return std::nullopt;
        if (isCut || !events.empty() || TimePoint::clock::now() >= end)
            co_return jsonResponse({{"events", std::move(events)}, {"current_rev", m_revision}});
        co_await sleepFor(PollInterval);
    }
}

} // namespace oriolerill::standins
