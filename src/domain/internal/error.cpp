#include "domain/error.h"

namespace oriolerill::domain {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid_input";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Fenced:
        return "fenced";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::RateLimited:
        return "rate_limited";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::Corrupted:
        return "corrupted";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Cancelled:
        return "cancelled";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::ostream &operator<<(std::ostream &stream, const Error &error)
{
    return stream << toString(error.kind) << ": " << error.message << "; " << error.remedy;
}

} // namespace oriolerill::domain
