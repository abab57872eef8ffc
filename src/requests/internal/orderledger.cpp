#include "requests/orderledger.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace oriolerill::requests {

namespace asio = boost::asio;
using domain::Done;
using domain::Expected;
using domain::TimePoint;

namespace {

LedgerTime timeNow()
{
    return {TimePoint::clock::now(), domain::WallTime::clock::now()};
}

} // namespace

class OrderLedger::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const asio::any_io_executor &executor, IOrderLog &log, LedgerSlot slot,
            std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options)
        : m_log(log)
        , m_slot(std::move(slot))
        , m_strand(asio::make_strand(executor))
        , m_timer(m_strand)
        , m_ledger(std::move(writer), incarnation, options)
    {}

    void begin(OrderRequest request, Callback callback)
    {
        applyEvent([&](LedgerTime time) {
            const std::uint64_t ticket = ++m_lastTicket;
            m_callbacks[ticket] = std::move(callback);
            return m_ledger.begin(ticket, std::move(request), time);
        });
    }

    void finish(const std::string &account, const std::string &key, OrderEnd end)
    {
        applyEvent([&](LedgerTime time) {
            return m_ledger.finish(account, key, std::move(end), time);
        });
    }

    std::size_t unwritten() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_ledger.unwritten();
    }

private:
    /// Applies an event to the ledger and carries out the resulting actions outside the lock.
    template<class Event>
    void applyEvent(Event event)
    {
        LedgerActions actions;
        {
            const std::scoped_lock lock(m_mutex);
            actions = event(timeNow());
        }
        for (LedgerAction &action : actions)
            std::visit([this](auto &typedAction) { carryOut(typedAction); }, action);
        asio::post(m_strand, [self = shared_from_this()] { self->armTimer(); });
    }

    void carryOut(AppendBatch &append)
    {
        m_log.append(m_slot, append.number, append.batch,
                [self = shared_from_this()](Expected<Done> result) {
                    self->applyEvent(
                            [&](LedgerTime time) { return self->m_ledger.appended(result, time); });
                });
    }

    void carryOut(ReadBatch &read)
    {
        m_log.read(m_slot, read.number,
                [self = shared_from_this(), number = read.number](
                        Expected<protocol::OrderBatch> batch) {
                    self->applyEvent([&](LedgerTime time) {
                        return self->m_ledger.read(number, std::move(batch), time);
                    });
                });
    }

    void carryOut(ListBatches &)
    {
        m_log.list(
                m_slot, [self = shared_from_this()](Expected<std::vector<std::uint64_t>> numbers) {
                    self->applyEvent([&](LedgerTime time) {
                        return self->m_ledger.listed(std::move(numbers), time);
                    });
                });
    }

    void carryOut(RemoveBatch &remove) { m_log.remove(m_slot, remove.number); }

    void carryOut(DecideOrder &decide)
    {
        Callback callback;
        {
            const std::scoped_lock lock(m_mutex);
            const auto found = m_callbacks.find(decide.ticket);
            callback = std::move(found->second);
            m_callbacks.erase(found);
        }
        callback(std::move(decide.decision));
    }

    /// Runs on the strand.
    void armTimer()
    {
        std::optional<TimePoint> next;
        {
            const std::scoped_lock lock(m_mutex);
            next = m_ledger.nextTick();
        }
        if (next == m_armedFor)
            return;
        m_armedFor = next;
        if (!next) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_at(*next);
        m_timer.async_wait([weak = weak_from_this()](boost::system::error_code code) {
            const std::shared_ptr<Implementation> self = weak.lock();
            if (code || !self)
                return;
            self->m_armedFor.reset();
            self->applyEvent([&](LedgerTime time) { return self->m_ledger.tick(time); });
        });
    }

    IOrderLog &m_log;
    LedgerSlot m_slot;
    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer;
    std::optional<TimePoint> m_armedFor;
    mutable std::mutex m_mutex;
    SlotLedger m_ledger;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, Callback> m_callbacks;
};

OrderLedger::OrderLedger(const asio::any_io_executor &executor, IOrderLog &log, LedgerSlot slot,
        std::string writer, domain::Incarnation incarnation, SlotLedgerOptions options)
    : m_implementation(std::make_shared<Implementation>(
            executor, log, std::move(slot), std::move(writer), incarnation, options))
{}

OrderLedger::~OrderLedger() = default;

void OrderLedger::begin(OrderRequest request, Callback callback)
{
    m_implementation->begin(std::move(request), std::move(callback));
}

void OrderLedger::finish(const std::string &account, const std::string &key, OrderEnd end)
{
    m_implementation->finish(account, key, std::move(end));
}

std::size_t OrderLedger::unwritten() const
{
    return m_implementation->unwritten();
}

} // namespace oriolerill::requests
