#pragma once

#include "domain/timepoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace oriolerill::requests {

/// Resumes one waiting coroutine from any thread; a notification before the wait is not lost.
class StrandSignal : public std::enable_shared_from_this<StrandSignal>
{
public:
    /// The waiting coroutine has to run on this executor, which has to run one handler at a time.
    explicit StrandSignal(const boost::asio::any_io_executor &strand)
        : m_timer(strand)
    {}

    void notify()
    {
        boost::asio::post(m_timer.get_executor(), [self = shared_from_this()] {
            self->m_isNotified = true;
            self->m_timer.cancel();
        });
    }

    /// Returns at the next notification or at the time point, whichever is first.
    boost::asio::awaitable<void> wait(domain::TimePoint until)
    {
        if (!m_isNotified) {
            m_timer.expires_at(until);
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        m_isNotified = false;
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_isNotified = false;
};

} // namespace oriolerill::requests
