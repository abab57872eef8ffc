#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::transport {

struct HttpField
{
    std::string name;
    std::string value;
};

/// Header fields in order; names compare without case.
class HttpFields
{
public:
    void add(std::string name, std::string value);
    /// Value of the first field with this name.
    std::optional<std::string> value(std::string_view name) const;
    std::string valueOr(std::string_view name, std::string_view fallback) const;

    bool isEmpty() const { return m_fields.empty(); }
    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    std::vector<HttpField> m_fields;
};

/// Whether HTTP has such a status, 100 to 599. An answer with any other is no response: nothing
/// else in its head is used, and its connection carries no further request.
bool isValidStatus(unsigned status);

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpFields fields;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpFields fields;
    std::string body;
};

/// Status line and header fields of a response whose body is read as a stream.
struct HttpResponseHead
{
    unsigned status = 200;
    HttpFields fields;
};

} // namespace oriolerill::transport
