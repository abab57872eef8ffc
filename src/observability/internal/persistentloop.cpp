#include "observability/persistentloop.h"

#include "observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace oriolerill::observability {

namespace asio = boost::asio;

namespace {

/// Prevents a busy loop when the loop fails immediately after each start.
constexpr auto RestartDelay = std::chrono::seconds(1);

asio::awaitable<void> run(asio::any_io_executor executor, std::string name,
        std::function<asio::awaitable<void>()> loop)
{
    asio::steady_timer timer(executor);
    for (;;) {
        bool hasFailed = false;
        try {
            co_await loop();
        } catch (const std::exception &error) {
            hasFailed = true;
            logEvent(Severity::Error, "loop_failed",
                    {{"loop", name}, {"error", error.what()},
                            {"remedy", "report this line as a fault; the loop is restarted"}});
        }
        if (!hasFailed)
            co_return;
        timer.expires_after(RestartDelay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

void startPersistentLoop(const asio::any_io_executor &executor, std::string name,
        std::function<asio::awaitable<void>()> loop)
{
    asio::co_spawn(executor, run(executor, std::move(name), std::move(loop)), asio::detached);
}

void runUntilStopped(asio::io_context &context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &error) {
            logEvent(Severity::Error, "handler_failed",
                    {{"error", error.what()}, {"remedy", "report this line as a fault"}});
        }
    }
}

} // namespace oriolerill::observability
