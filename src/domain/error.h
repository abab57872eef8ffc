#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace oriolerill::domain {

enum class ErrorKind {
    InvalidInput,
    Unauthorized,
    NotFound,
    Conflict,
    Fenced,
    Overloaded,
    RateLimited,
    Unavailable,
    Timeout,
    Corrupted,
    TooLarge,
    Cancelled,
    Internal,
};

std::string_view toString(ErrorKind kind);

/// A failure: its kind, a description and a remedy for the reader.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    friend bool operator==(const Error &, const Error &) = default;
};

std::ostream &operator<<(std::ostream &stream, const Error &error);

} // namespace oriolerill::domain
