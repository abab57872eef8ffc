#include "relay/internal/requestwrite.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriolerill::relay::internal {

namespace asio = boost::asio;

RequestWrite::RequestWrite(const asio::any_io_executor &executor)
    : m_end(executor, asio::steady_timer::time_point::max())
{}

void RequestWrite::onEnded(boost::system::error_code code)
{
    m_result = code;
    m_end.cancel();
}

asio::awaitable<boost::system::error_code> RequestWrite::waitForEnd()
{
    while (!m_result)
        co_await m_end.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return *m_result;
}

} // namespace oriolerill::relay::internal
