#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace oriolerill::routing {

/// Something that requests may have in common, so that crashes of engines can be attributed to it.
class RequestTrait
{
public:
    enum class Kind : std::uint8_t {
        /// A part of a prompt, such as an account's instructions.
        PromptPart,
        /// Digest of the method, host, target, account and body: the same request, repeated.
        WholeRequest,
    };

    explicit RequestTrait(std::string value, Kind kind = Kind::PromptPart)
        : m_kind(kind)
        , m_value(std::move(value))
    {}

    Kind kind() const { return m_kind; }
    bool isWholeRequest() const { return m_kind == Kind::WholeRequest; }
    const std::string &value() const { return m_value; }

    friend auto operator<=>(const RequestTrait &, const RequestTrait &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const RequestTrait &trait)
    {
        return stream << (trait.isWholeRequest() ? "request:" : "") << trait.m_value;
    }

private:
    Kind m_kind;
    std::string m_value;
};

/// The request itself, as it is when a caller repeats it with another id.
RequestTrait wholeRequest(std::string_view method, std::string_view host, std::string_view target,
        std::string_view account, std::string_view body);

} // namespace oriolerill::routing

template<>
struct std::hash<oriolerill::routing::RequestTrait>
{
    std::size_t operator()(const oriolerill::routing::RequestTrait &trait) const noexcept
    {
        return std::hash<std::string>{}(trait.value()) + static_cast<std::size_t>(trait.kind());
    }
};
