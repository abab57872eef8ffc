#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace oriolerill::observability {

/// Starts a loop that is meant to last as long as the process. An unexpected error is logged, and
/// the loop begins again a second later: a process that goes on without one of its loops would act
/// for good on what it knew at the time.
void startPersistentLoop(const boost::asio::any_io_executor &executor, std::string name,
        std::function<boost::asio::awaitable<void>()> loop);

/// Runs the context until it is stopped or has no work left. An unexpected error in a handler is
/// logged and ends what it struck, not the process.
void runUntilStopped(boost::asio::io_context &context);

} // namespace oriolerill::observability
