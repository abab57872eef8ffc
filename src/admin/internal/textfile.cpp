#include "admin/internal/textfile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace oriolerill::admin::internal {

domain::Expected<std::string> readTextFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream) {
        return domain::Error{domain::ErrorKind::InvalidInput,
                file + ": cannot be read: " + std::strerror(errno),
                "give the path of a readable file that is not empty"};
    }
    return text.str();
}

} // namespace oriolerill::admin::internal
