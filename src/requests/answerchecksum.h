#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH64_state_s;

namespace oriolerill::requests {

/// Computes the length and the xxh64 of an answer that arrives in pieces.
class AnswerChecksum
{
public:
    AnswerChecksum();

    void add(std::string_view data);
    std::uint64_t length() const { return m_length; }
    std::uint64_t value() const;
    /// The value as 16 hexadecimal digits.
    std::string hex() const;

private:
    struct Release
    {
        void operator()(XXH64_state_s *state) const;
    };

    std::unique_ptr<XXH64_state_s, Release> m_state;
    std::uint64_t m_length = 0;
};

} // namespace oriolerill::requests
