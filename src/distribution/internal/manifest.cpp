#include "distribution/manifest.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <utility>

namespace oriolerill::distribution {

namespace json = boost::json;
using domain::Bytes;
using domain::Digest;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

constexpr auto Remedy = "publish the version again with a valid manifest";

Error invalid(const std::string &what)
{
    return Error{ErrorKind::InvalidInput, "invalid manifest: " + what, Remedy};
}

const json::value *member(const json::value &object, std::string_view name)
{
    const json::object *fields = object.if_object();
    return fields ? fields->if_contains(name) : nullptr;
}

std::string textMember(const json::value &object, std::string_view name)
{
    const json::value *value = member(object, name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

Expected<ChunkInfo> readChunk(const json::value &value, std::size_t index)
{
    const std::string where = "chunk " + std::to_string(index);
    const std::optional<Digest> digest = Digest::fromHex(textMember(value, "digest"));
    if (!digest)
        return invalid(where + " has no digest of 64 hexadecimal digits");
    const json::value *size = member(value, "size");
    if (!size || !size->is_int64() || size->as_int64() <= 0)
        return invalid(where + " has no positive size");
    const auto bytes = static_cast<std::uint64_t>(size->as_int64());
    if (bytes > Manifest::MaxChunkSize)
        return invalid(where + " is larger than " + std::to_string(Manifest::MaxChunkSize));
    return ChunkInfo{*digest, Bytes(bytes), Bytes()};
}

} // namespace

Expected<Manifest> Manifest::parse(std::string text, const Digest &expected)
{
    Manifest manifest;
    manifest.m_digest = Digest::of(text);
    if (manifest.m_digest != expected) {
        return Error{ErrorKind::Corrupted, "the manifest does not have its digest",
                "fetch it from another source"};
    }
    json::error_code code;
    const json::value root = json::parse(text, code);
    if (code)
        return invalid("it is not JSON: " + code.message());
    manifest.m_model = textMember(root, "model");
    manifest.m_version = textMember(root, "version");
    const json::value *chunks = member(root, "chunks");
    if (!chunks || !chunks->is_array() || chunks->as_array().empty())
        return invalid("it has no chunks");
    if (chunks->as_array().size() > MaxChunks)
        return invalid("it has more than " + std::to_string(MaxChunks) + " chunks");
    for (const json::value &value : chunks->as_array()) {
        Expected<ChunkInfo> chunk = readChunk(value, manifest.m_chunks.size());
        if (!chunk)
            return chunk.error();
        chunk->offset = manifest.m_size;
        manifest.m_size += chunk->size;
        manifest.m_chunks.push_back(*chunk);
    }
    manifest.m_text = std::move(text);
    return manifest;
}

std::string Manifest::format(
        std::string_view model, std::string_view version, const std::vector<ChunkInfo> &chunks)
{
    json::array list;
    for (const ChunkInfo &chunk : chunks)
        list.push_back({{"digest", chunk.digest.hex()}, {"size", chunk.size.count()}});
    return json::serialize(json::value{{"model", model}, {"version", version}, {"chunks", list}});
}

} // namespace oriolerill::distribution
