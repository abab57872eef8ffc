#include "objectstore/internal/objectcodec.h"

#include "config/versiontext.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <optional>

namespace oriolerill::objectstore::internal {

namespace json = boost::json;
using domain::Error;
using domain::ErrorKind;
using domain::Expected;

namespace {

Error malformed(const std::string &what)
{
    return Error{ErrorKind::Corrupted, "malformed answer of the object API: " + what,
            "check that [platform] address names the object API"};
}

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

bool flagOf(const json::object &object, std::string_view name)
{
    const json::value *const value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string raw(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(raw.data()),
            reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    raw.resize(static_cast<std::size_t>(size) - padding);
    return raw;
}

std::optional<StoredObject> parseObject(const json::value &value)
{
    const json::object *const object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    StoredObject stored;
    stored.key = textOf(*object, "key");
    stored.isDeleted = flagOf(*object, "deleted");
    const auto version = config::parseVersion(textOf(*object, "version"));
    std::optional<std::string> raw = decodeBase64(textOf(*object, "valueBase64"));
    if (!version || !raw || stored.key.empty())
        return std::nullopt;
    stored.version = *version;
    stored.value = std::move(*raw);
    return stored;
}

ListedVm parseVm(const json::object &object)
{
    ListedVm vm;
    vm.id = domain::VmId(textOf(object, "id"));
    vm.dataCentre = domain::DataCentreId(textOf(object, "dataCentre"));
    vm.region = domain::RegionId(textOf(object, "region"));
    vm.role = textOf(object, "role");
    vm.controlAddress = textOf(object, "controlAddress");
    vm.requestAddress = textOf(object, "requestAddress");
    vm.isLeaving = flagOf(object, "leaving");
    return vm;
}

/// The JSON object, if it contains an array with this name.
std::optional<json::object> parseObjectWithArray(std::string_view body, std::string_view name)
{
    json::error_code code;
    json::value root = json::parse(json::string_view(body.data(), body.size()), code);
    if (code || !root.is_object())
        return std::nullopt;
    const json::value *const array = root.get_object().if_contains(name);
    if (array == nullptr || !array->is_array())
        return std::nullopt;
    return std::move(root.get_object());
}

} // namespace

Expected<ObjectList> parseObjectList(std::string_view body)
{
    const std::optional<json::object> root = parseObjectWithArray(body, "objects");
    if (!root)
        return malformed("no list of objects");
    const auto storeVersion = config::parseVersion(textOf(*root, "storeVersion"));
    if (!storeVersion)
        return malformed("no storeVersion");
    ObjectList list;
    list.storeVersion = *storeVersion;
    for (const json::value &value : root->at("objects").get_array()) {
        std::optional<StoredObject> object = parseObject(value);
        if (!object)
            return malformed("an object without key, version or base64 value");
        list.objects.push_back(std::move(*object));
    }
    return list;
}

Expected<std::vector<ListedVm>> parseVmList(std::string_view body)
{
    const std::optional<json::object> root = parseObjectWithArray(body, "vms");
    if (!root)
        return malformed("no list of VMs");
    std::vector<ListedVm> vms;
    for (const json::value &value : root->at("vms").get_array()) {
        if (!value.is_object())
            return malformed("a VM that is not an object");
        vms.push_back(parseVm(value.get_object()));
    }
    return vms;
}

Error parseStoreError(unsigned status, std::string_view body)
{
    Error error{ErrorKind::Internal, "the object API answered " + std::to_string(status),
            "look at the log of the object API"};
    if (status == 429)
        error.kind = ErrorKind::RateLimited;
    if (status == 503)
        error.kind = ErrorKind::Unavailable;
    json::error_code code;
    const json::value root = json::parse(json::string_view(body.data(), body.size()), code);
    const json::value *const given
            = !code && root.is_object() ? root.get_object().if_contains("error") : nullptr;
    if (given == nullptr || !given->is_object())
        return error;
    const std::string message = textOf(given->get_object(), "message");
    const std::string remedy = textOf(given->get_object(), "remedy");
    if (!message.empty())
        error.message += ": " + message;
    if (!remedy.empty())
        error.remedy = remedy;
    return error;
}

} // namespace oriolerill::objectstore::internal
