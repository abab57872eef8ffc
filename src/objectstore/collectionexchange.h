#pragma once

#include "domain/configversion.h"
#include "domain/expected.h"
#include "domain/socketaddress.h"
#include "objectstore/iobjectstore.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <string>

namespace oriolerill::objectstore {

/// Serves an entry's copies of large collections to the other entries and the agents of its data
/// centre, and fetches copies from entries. The copies are compressed, as routes and endpoints
/// resemble each other.
class CollectionExchange
{
public:
    /// This process's copy of a collection; null for collections that are not served.
    using CopyOf = std::function<const ObjectList *(const std::string &collection)>;

    /// Without copyOf it only fetches.
    explicit CollectionExchange(boost::asio::any_io_executor executor, CopyOf copyOf = {});

    /// Answers another process's request for a list; 404 without a copy, 503 while
    /// MaxConcurrentAnswers are in progress.
    boost::asio::awaitable<void> answer(transport::HttpServerExchange &exchange);
    /// Unavailable when the source has no copy or too many answers in progress; Corrupted when the
    /// answer cannot be decoded.
    boost::asio::awaitable<domain::Expected<ObjectList>> fetch(
            domain::SocketAddress source, std::string collection, domain::TimePoint deadline);

private:
    struct CompressedCopy
    {
        domain::ConfigVersion version;
        std::string bytes;
    };
    /// Compressed once for each version.
    const std::string &compressedCopy(const std::string &collection, const ObjectList &list);

    transport::HttpClient m_client;
    CopyOf m_copyOf;
    std::map<std::string, CompressedCopy> m_compressedCopies;
    std::size_t m_answersInProgress = 0;
};

} // namespace oriolerill::objectstore
