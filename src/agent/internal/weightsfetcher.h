#pragma once

#include "distribution/bulkpacer.h"
#include "domain/expected.h"
#include "domain/quantity.h"
#include "domain/socketaddress.h"
#include "transport/httpclient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace oriolerill::agent {

struct WeightsFetchRequest
{
    domain::SocketAddress peer;
    transport::HttpRequest message;
    /// A longer answer fails with Corrupted.
    domain::Bytes maxSize;
    /// Set by another thread to cancel the fetch; checked before each read.
    std::shared_ptr<std::atomic<bool>> isCancelled;
};

/// Fetches bulk data over HTTP. Reads are paced per source, so that the latency of requests does
/// not increase.
class WeightsFetcher
{
public:
    WeightsFetcher(boost::asio::any_io_executor executor, transport::HttpClient &client,
            distribution::BulkPacerOptions pacing);

    /// Returns the body of a 2xx answer. Fails with Overloaded or NotFound when the source refuses,
    /// Cancelled, Corrupted when the answer is too long, otherwise Unavailable or Timeout.
    boost::asio::awaitable<domain::Expected<std::string>> fetch(WeightsFetchRequest request);
    domain::BytesPerSecond rateOf(const std::string &host);

private:
    struct Source
    {
        explicit Source(distribution::BulkPacerOptions options)
            : pacer(options, domain::TimePoint::clock::now())
        {}

        std::mutex mutex;
        distribution::BulkPacer pacer;
    };

    std::shared_ptr<Source> sourceOf(const std::string &host);
    boost::asio::awaitable<domain::Expected<std::unique_ptr<transport::HttpExchange>>> open(
            const WeightsFetchRequest &request, Source &source);
    boost::asio::awaitable<domain::Expected<std::string>> readBody(
            const WeightsFetchRequest &request, transport::HttpExchange &exchange, Source &source);
    boost::asio::awaitable<void> waitForPacer(Source &source, domain::Bytes bytes);

    boost::asio::any_io_executor m_executor;
    transport::HttpClient &m_client;
    distribution::BulkPacerOptions m_pacing;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Source>> m_sources;
};

} // namespace oriolerill::agent
