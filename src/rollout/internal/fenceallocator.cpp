#include "rollout/fenceallocator.h"

#include <boost/json.hpp>

namespace oriolerill::rollout {

namespace json = boost::json;

namespace {

std::uint64_t numberOf(const json::object &object, const char *name)
{
    const json::value *const value = object.if_contains(name);
    json::error_code code;
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(code) : 0;
}

} // namespace

FenceAllocator::FenceAllocator(domain::Incarnation self, std::uint64_t blockSize)
    : m_self(self)
    , m_blockSize(blockSize)
{}

void FenceAllocator::onRead(const std::string &value, const domain::ConfigVersion &version)
{
    json::error_code code;
    const json::value root = json::parse(value, code);
    const json::object empty;
    const json::object &object = !code && root.is_object() ? root.get_object() : empty;
    m_stored = numberOf(object, "fence");
    m_version = version;
    m_isKnown = true;
    const domain::Incarnation writer(numberOf(object, "writer"));
    m_isSuperseded = m_isSuperseded || writer > m_self;
    // Another process has reserved numbers above this block.
    if (writer != m_self)
        m_last = 0;
}

void FenceAllocator::onAbsent()
{
    m_stored = 0;
    m_version.reset();
    m_isKnown = true;
}

FenceReservation FenceAllocator::nextReservation() const
{
    json::object object;
    object["fence"] = m_stored + m_blockSize;
    object["writer"] = m_self.count();
    return {json::serialize(object), m_version};
}

void FenceAllocator::onReserved(const domain::ConfigVersion &version)
{
    m_next = m_stored + 1;
    m_stored += m_blockSize;
    m_last = m_stored;
    m_version = version;
}

std::optional<domain::FencingNumber> FenceAllocator::allocate()
{
    if (m_isSuperseded || m_next > m_last)
        return std::nullopt;
    return domain::FencingNumber(m_next++);
}

} // namespace oriolerill::rollout
