#include "domain/bytebudget.h"

#include <utility>

namespace oriolerill::domain {

ByteBudget::ByteBudget(Bytes limit, Bytes alwaysGranted)
    : m_limit(limit)
    , m_alwaysGranted(alwaysGranted)
{}

ByteShare::ByteShare(std::shared_ptr<ByteBudget> budget)
    : m_budget(std::move(budget))
{}

ByteShare::~ByteShare()
{
    m_budget->m_held -= m_size.count();
}

void ByteShare::resize(Bytes size)
{
    // The difference wraps around where the size falls, and the sum wraps back.
    m_budget->m_held += size.count() - m_size.count();
    m_size = size;
}

bool ByteShare::tryResize(Bytes size)
{
    if (size <= m_size) {
        m_budget->m_held -= (m_size - size).count();
        m_size = size;
        return true;
    }
    const std::uint64_t added = (size - m_size).count();
    const std::uint64_t limit = m_budget->m_limit.count();
    const bool isAlwaysGranted = size <= m_budget->m_alwaysGranted;
    std::uint64_t held = m_budget->m_held;
    do {
        if (!isAlwaysGranted && (held > limit || added > limit - held))
            return false;
    } while (!m_budget->m_held.compare_exchange_weak(held, held + added));
    m_size = size;
    return true;
}

} // namespace oriolerill::domain
