#pragma once

#include "objectstore/iobjectstore.h"
#include "requests/iorderlog.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <chrono>
#include <memory>

namespace oriolerill::objectstore {

struct OrderLogOptions
{
    /// Timeout of one call to the store.
    domain::Duration callTimeout = std::chrono::seconds(2);
};

/// Order log in objects "orders/<service>/<slot>/<number, 12 digits>".
///
/// An append whose outcome is unknown is repeated until the store shows whether the batch exists.
class StoredOrderLog : public requests::IOrderLog
{
public:
    StoredOrderLog(boost::asio::any_io_executor executor, IObjectStore &store,
            OrderLogOptions options = {});
    ~StoredOrderLog() override;
    StoredOrderLog(const StoredOrderLog &) = delete;
    StoredOrderLog &operator=(const StoredOrderLog &) = delete;

    void append(const requests::LedgerSlot &slot, std::uint64_t number,
            const protocol::OrderBatch &batch, AppendCallback callback) override;
    void read(
            const requests::LedgerSlot &slot, std::uint64_t number, ReadCallback callback) override;
    void list(const requests::LedgerSlot &slot, ListCallback callback) override;
    void remove(const requests::LedgerSlot &slot, std::uint64_t number) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace oriolerill::objectstore
