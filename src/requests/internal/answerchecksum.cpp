#include "requests/answerchecksum.h"

#include <xxhash.h>

#include <cstdio>

namespace oriolerill::requests {

void AnswerChecksum::Release::operator()(XXH64_state_s *state) const
{
    XXH64_freeState(state);
}

AnswerChecksum::AnswerChecksum()
    : m_state(XXH64_createState())
{
    XXH64_reset(m_state.get(), 0);
}

void AnswerChecksum::add(std::string_view data)
{
    XXH64_update(m_state.get(), data.data(), data.size());
    m_length += data.size();
}

std::uint64_t AnswerChecksum::value() const
{
    return XXH64_digest(m_state.get());
}

std::string AnswerChecksum::hex() const
{
    constexpr std::size_t DigitsWithTerminator = 17;
    char text[DigitsWithTerminator];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value()));
    return text;
}

} // namespace oriolerill::requests
