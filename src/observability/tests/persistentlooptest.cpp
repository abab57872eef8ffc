#include "observability/persistentloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <stdexcept>

namespace oriolerill::observability {

// Guards against a process that continues without one of its loops after an unexpected exception,
// and against an exception that ends the process.
TEST(PersistentLoop, start_loopThrows_restartedUntilItReturns)
{
    boost::asio::io_context context{1};
    int starts = 0;
    startPersistentLoop(context.get_executor(), "test", [&]() -> boost::asio::awaitable<void> {
        if (++starts < 3)
            throw std::runtime_error("unexpected");
        co_return;
    });
    context.run_for(std::chrono::seconds(5));
    EXPECT_EQ(starts, 3);
    EXPECT_TRUE(context.stopped());
}

// Guards against a handler whose exception ends the process.
TEST(PersistentLoop, runUntilStopped_handlerThrows_othersStillRun)
{
    boost::asio::io_context context{1};
    int run = 0;
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&run] { ++run; });
    runUntilStopped(context);
    EXPECT_EQ(run, 1);
}

} // namespace oriolerill::observability
