#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace oriolerill::observability {

/// Starts a loop that runs for the lifetime of the process. An unexpected exception is logged, and
/// the loop is restarted after one second: without one of its loops the process would continue with
/// data that is never updated.
void startPersistentLoop(const boost::asio::any_io_executor &executor, std::string name,
        std::function<boost::asio::awaitable<void>()> loop);

/// Runs the context until it is stopped or has no work left. An unexpected exception in a handler
/// is logged and ends that handler, not the process.
void runUntilStopped(boost::asio::io_context &context);

} // namespace oriolerill::observability
