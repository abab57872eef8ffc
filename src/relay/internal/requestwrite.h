#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <optional>

namespace oriolerill::relay::internal {

/// State of the write of a request, beside which its answer is read. Not thread-safe.
class RequestWrite
{
public:
    explicit RequestWrite(const boost::asio::any_io_executor &executor);

    /// Called once, when the write has ended.
    void onEnded(boost::system::error_code code);
    /// Waits until the write has ended, and returns its error.
    boost::asio::awaitable<boost::system::error_code> waitForEnd();

    bool hasEnded() const { return m_result.has_value(); }
    /// The request has been handed to the kernel completely.
    bool isComplete() const { return m_result && !*m_result; }

private:
    /// Without an expiry; cancelled at the end of the write.
    boost::asio::steady_timer m_end;
    std::optional<boost::system::error_code> m_result;
};

} // namespace oriolerill::relay::internal
