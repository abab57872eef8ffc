#pragma once

#include "domain/expected.h"
#include "objectstore/iobjectstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::objectstore::internal {

/// Percent-encodes all but unreserved characters and "/".
std::string encodeKey(std::string_view key);
/// Parses the list form of the object API; Corrupted for any other text.
domain::Expected<ObjectList> parseObjectList(std::string_view body);
domain::Expected<std::vector<ListedVm>> parseVmList(std::string_view body);
/// The error that the store gave in the body of a refusal.
domain::Error parseStoreError(unsigned status, std::string_view body);

} // namespace oriolerill::objectstore::internal
