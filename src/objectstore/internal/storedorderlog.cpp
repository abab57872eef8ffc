#include "objectstore/storedorderlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <string_view>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
using domain::Done;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;
using domain::TimePoint;
using protocol::OrderBatch;
using requests::LedgerSlot;

namespace {

constexpr std::size_t NumberDigits = 12;
constexpr auto RetryDelay = std::chrono::milliseconds(200);

std::string prefixOf(const LedgerSlot &slot)
{
    return "orders/" + slot.service.value() + '/' + std::to_string(slot.number) + '/';
}

std::string keyOf(const LedgerSlot &slot, std::uint64_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, NumberDigits - std::min(NumberDigits, digits.size()), '0');
    return prefixOf(slot) + digits;
}

Expected<std::uint64_t> parseNumber(std::string_view key, std::size_t prefixSize)
{
    std::uint64_t number = 0;
    const std::string_view text = key.substr(std::min(prefixSize, key.size()));
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status == std::errc() && end == text.data() + text.size())
        return number;
    return Error{ErrorKind::Corrupted, "no batch number in the key " + std::string(key),
            "remove the object; only agents write below orders/"};
}

Expected<OrderBatch> parseBatch(const StoredObject &object)
{
    OrderBatch batch;
    if (batch.ParseFromString(object.value))
        return batch;
    return Error{ErrorKind::Corrupted, "the object " + object.key + " is no order batch",
            "check that agents and entries run the same version"};
}

Error fenced(const std::string &key)
{
    return Error{ErrorKind::Fenced, "another writer has created " + key,
            "read the log again before writing"};
}

} // namespace

class StoredOrderLog::Implementation
{
public:
    Implementation(asio::any_io_executor executor, IObjectStore &store, OrderLogOptions options)
        : m_executor(std::move(executor))
        , m_store(store)
        , m_options(options)
    {}

    const asio::any_io_executor &executor() const { return m_executor; }
    void stop() { m_isStopped = true; }

    asio::awaitable<Expected<Done>> append(std::string key, std::string value, std::string writeId);
    asio::awaitable<Expected<OrderBatch>> read(std::string key);
    asio::awaitable<Expected<std::vector<std::uint64_t>>> list(std::string prefix);
    asio::awaitable<void> remove(std::string key);

private:
    TimePoint callDeadline() const { return TimePoint::clock::now() + m_options.callTimeout; }
    asio::awaitable<Expected<Done>> readBack(std::string key, std::string writeId);

    asio::any_io_executor m_executor;
    IObjectStore &m_store;
    OrderLogOptions m_options;
    std::atomic<bool> m_isStopped = false;
};

asio::awaitable<Expected<OrderBatch>> StoredOrderLog::Implementation::read(std::string key)
{
    const Expected<StoredObject> object = co_await m_store.read(std::move(key), callDeadline());
    if (!object)
        co_return object.error();
    co_return parseBatch(*object);
}

asio::awaitable<Expected<Done>> StoredOrderLog::Implementation::readBack(
        std::string key, std::string writeId)
{
    const Expected<OrderBatch> batch = co_await read(key);
    if (!batch && batch.error().kind != ErrorKind::Corrupted)
        co_return batch.error();
    if (!batch || batch->write_id() != writeId)
        co_return fenced(key);
    co_return Done();
}

asio::awaitable<Expected<Done>> StoredOrderLog::Implementation::append(
        std::string key, std::string value, std::string writeId)
{
    bool isUnknown = false;
    while (!m_isStopped) {
        const auto created = co_await m_store.create(key, value, callDeadline());
        if (created)
            co_return Done();
        const Error &error = created.error();
        if (error.kind == ErrorKind::Conflict) {
            isUnknown = true;
            const Expected<Done> result = co_await readBack(key, writeId);
            if (result || result.error().kind == ErrorKind::Fenced)
                co_return result;
        }
        const bool isWithoutEffect
                = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::RateLimited;
        if (isWithoutEffect && !isUnknown)
            co_return error;
        if (error.kind == ErrorKind::TooLarge || error.kind == ErrorKind::InvalidInput)
            co_return error;
        isUnknown = true;
        asio::steady_timer timer(m_executor, RetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return Error{ErrorKind::Timeout,
            "the process stops before the outcome of " + key + " is known",
            "the next owner of the slot reads the log"};
}

asio::awaitable<Expected<std::vector<std::uint64_t>>> StoredOrderLog::Implementation::list(
        std::string prefix)
{
    const Expected<ObjectList> objects = co_await m_store.list(prefix, callDeadline());
    if (!objects)
        co_return objects.error();
    std::vector<std::uint64_t> numbers;
    for (const StoredObject &object : objects->objects) {
        const Expected<std::uint64_t> number = parseNumber(object.key, prefix.size());
        if (!number)
            co_return number.error();
        numbers.push_back(*number);
    }
    std::sort(numbers.begin(), numbers.end());
    co_return numbers;
}

asio::awaitable<void> StoredOrderLog::Implementation::remove(std::string key)
{
    const Expected<StoredObject> object = co_await m_store.read(key, callDeadline());
    // A batch that could not be removed is removed by the next pass over the log.
    if (object)
        co_await m_store.remove(key, object->version, callDeadline());
}

namespace {

// Keeps the implementation alive until the callback has run.
template<class Owner, class Result, class Callback>
void start(
        const std::shared_ptr<Owner> &owner, asio::awaitable<Result> operation, Callback callback)
{
    asio::co_spawn(owner->executor(), std::move(operation),
            [owner, callback = std::move(callback)](const std::exception_ptr &failure,
                    Result result) { callback(failure ? Result() : std::move(result)); });
}

} // namespace

StoredOrderLog::StoredOrderLog(
        asio::any_io_executor executor, IObjectStore &store, OrderLogOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), store, options))
{}

StoredOrderLog::~StoredOrderLog()
{
    m_implementation->stop();
}

void StoredOrderLog::append(const LedgerSlot &slot, std::uint64_t number, const OrderBatch &batch,
        AppendCallback callback)
{
    start(m_implementation,
            m_implementation->append(
                    keyOf(slot, number), batch.SerializeAsString(), batch.write_id()),
            std::move(callback));
}

void StoredOrderLog::read(const LedgerSlot &slot, std::uint64_t number, ReadCallback callback)
{
    start(m_implementation, m_implementation->read(keyOf(slot, number)), std::move(callback));
}

void StoredOrderLog::list(const LedgerSlot &slot, ListCallback callback)
{
    start(m_implementation, m_implementation->list(prefixOf(slot)), std::move(callback));
}

void StoredOrderLog::remove(const LedgerSlot &slot, std::uint64_t number)
{
    asio::co_spawn(m_implementation->executor(), m_implementation->remove(keyOf(slot, number)),
            [owner = m_implementation](const std::exception_ptr &) {});
}

} // namespace oriolerill::objectstore
