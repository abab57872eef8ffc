#include "objectstore/collectionexchange.h"

#include "config/versiontext.h"
#include "protocol/control.pb.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <utility>

namespace oriolerill::objectstore {

namespace asio = boost::asio;
namespace io = google::protobuf::io;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

constexpr std::string_view TargetPrefix = "/v1/collections/";
/// More concurrent answers would slow each other down until all of them time out.
constexpr std::size_t MaxConcurrentAnswers = 16;
/// Limit of a compressed list. Two collections are fetched at a time, and a buffer that grows takes
/// up to three times its size.
constexpr auto MaxCompressedSize = domain::Bytes(4U << 20U);
/// Limit of a decompressed list: a corrupt answer could expand a thousandfold.
constexpr int MaxListBytes = 64 << 20;

transport::HttpClientOptions clientOptions()
{
    transport::HttpClientOptions options;
    options.maxBody = MaxCompressedSize;
    return options;
}

std::string compress(const protocol::CollectionCopy &message)
{
    std::string bytes;
    io::StringOutputStream output(&bytes);
    io::GzipOutputStream compressor(&output);
    message.SerializeToZeroCopyStream(&compressor);
    compressor.Close();
    return bytes;
}

bool decompress(const std::string &bytes, protocol::CollectionCopy &message)
{
    io::ArrayInputStream input(bytes.data(), static_cast<int>(bytes.size()));
    io::GzipInputStream decompressor(&input);
    io::LimitingInputStream limited(&decompressor, MaxListBytes);
    const bool isParsed = message.ParseFromZeroCopyStream(&limited);
    return isParsed && limited.ByteCount() < MaxListBytes && decompressor.ZlibErrorCode() >= 0;
}

} // namespace

CollectionExchange::CollectionExchange(asio::any_io_executor executor, CopyOf copyOf)
    : m_client(std::move(executor), clientOptions())
    , m_copyOf(std::move(copyOf))
{}

const std::string &CollectionExchange::compressedCopy(
        const std::string &collection, const ObjectList &list)
{
    CompressedCopy &cached = m_compressedCopies[collection];
    if (cached.version == list.storeVersion)
        return cached.bytes;
    protocol::CollectionCopy message;
    message.set_collection(collection);
    config::toProtocol(list.storeVersion, message.mutable_version());
    for (const StoredObject &object : list.objects) {
        protocol::ChangedObject &changed = *message.add_objects();
        changed.set_key(object.key);
        config::toProtocol(object.version, changed.mutable_version());
        changed.set_value(object.value);
    }
    cached = {list.storeVersion, compress(message)};
    return cached.bytes;
}

asio::awaitable<void> CollectionExchange::answer(transport::HttpServerExchange &exchange)
{
    const std::string &target = exchange.request().target;
    const bool isCollection = target.compare(0, TargetPrefix.size(), TargetPrefix) == 0;
    const std::string collection = isCollection ? target.substr(TargetPrefix.size()) : "";
    const ObjectList *list = isCollection ? m_copyOf(collection) : nullptr;
    transport::HttpResponse response;
    response.status = 404;
    if (list != nullptr && list->storeVersion != domain::ConfigVersion()) {
        response.status = m_answersInProgress < MaxConcurrentAnswers ? 200 : 503;
        if (response.status == 200)
            response.body = compressedCopy(collection, *list);
    }
    ++m_answersInProgress;
    co_await exchange.respond(std::move(response));
    --m_answersInProgress;
}

asio::awaitable<Expected<ObjectList>> CollectionExchange::fetch(
        domain::SocketAddress source, std::string collection, domain::TimePoint deadline)
{
    transport::HttpRequest request;
    request.method = "GET";
    request.target = std::string(TargetPrefix) + collection;
    auto response = co_await m_client.send(source, std::move(request), deadline);
    if (!response)
        co_return response.error();
    if (response->status != 200) {
        co_return Error{ErrorKind::Unavailable,
                "entry " + source.toString() + " answered " + std::to_string(response->status)
                        + " to a request for " + collection,
                "another entry or the store is read instead"};
    }
    protocol::CollectionCopy message;
    // Truncated data decompresses without an error; the name of the collection is the last field of
    // the message, so it shows whether the data is complete.
    if (!decompress(response->body, message) || message.collection() != collection) {
        co_return Error{ErrorKind::Corrupted,
                "entry " + source.toString() + " sent a list of " + collection
                        + " that cannot be decoded",
                "another entry or the store is read instead"};
    }
    ObjectList list;
    list.storeVersion = config::fromProtocol(message.version());
    for (const protocol::ChangedObject &object : message.objects()) {
        list.objects.push_back(
                {object.key(), object.value(), config::fromProtocol(object.version()), false});
    }
    co_return list;
}

} // namespace oriolerill::objectstore
