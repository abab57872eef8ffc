#pragma once

#include "pacer.h"
#include "target.h"
#include "weightssource.h"

#include "transport/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oriolerill::standins {

/// The origin of the weights: serves manifests and byte ranges at a limited rate.
class Origin
{
public:
    explicit Origin(std::uint64_t bytesPerSecond);

    /// Publishes weights and returns their manifest digest.
    std::string publish(const WeightsOptions &options);

    boost::asio::awaitable<void> handle(transport::HttpServerExchange &exchange);

private:
    struct Published
    {
        WeightsSource source;
        std::uint64_t bytesSent = 0;
        std::uint64_t requests = 0;
    };

    transport::HttpResponse control(const Target &target);
    boost::asio::awaitable<void> sendRange(
            transport::HttpServerExchange &exchange, Published &weights);
    std::string counters() const;

    Pacer m_pacer;
    std::map<std::string, Published> m_published;
    bool m_isDown = false;
    bool m_isStalled = false;
    std::int64_t m_rangesToCorrupt = 0;
    std::uint64_t m_corrupted = 0;
};

} // namespace oriolerill::standins
