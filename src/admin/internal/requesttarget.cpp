#include "admin/internal/requesttarget.h"

#include "transport/percentencoding.h"

#include <algorithm>

namespace oriolerill::admin::internal {

namespace {

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        if (end > 0)
            parts.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

} // namespace

RequestTarget::RequestTarget(std::string_view target)
{
    const std::size_t mark = std::min(target.find('?'), target.size());
    for (const std::string_view segment : split(target.substr(0, mark), '/'))
        m_segments.push_back(transport::percentDecoded(segment));
    for (const std::string_view pair : split(target.substr(mark), '&')) {
        const std::string_view text = pair.front() == '?' ? pair.substr(1) : pair;
        const std::size_t equals = std::min(text.find('='), text.size());
        const std::string_view value = text.substr(std::min(equals + 1, text.size()));
        m_parameters[transport::percentDecoded(text.substr(0, equals))]
                = transport::percentDecoded(value);
    }
}

std::string RequestTarget::parameter(const std::string &name) const
{
    const auto found = m_parameters.find(name);
    return found == m_parameters.end() ? std::string() : found->second;
}

std::string RequestTarget::path() const
{
    std::string path;
    for (const std::string &segment : m_segments)
        path += '/' + segment;
    return path.empty() ? "/" : path;
}

} // namespace oriolerill::admin::internal
