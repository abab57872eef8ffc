#pragma once

#include "domain/expected.h"
#include "objectstore/iobjectstore.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::objectstore::internal {

/// Parses the object API's answer to a list or watch; Corrupted if it is malformed.
domain::Expected<ObjectList> parseObjectList(std::string_view body);
domain::Expected<std::vector<ListedVm>> parseVmList(std::string_view body);
/// Error for a status and body with which the store refused a call.
domain::Error parseStoreError(unsigned status, std::string_view body);

} // namespace oriolerill::objectstore::internal
