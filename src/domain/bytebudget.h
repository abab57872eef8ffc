#pragma once

#include "domain/quantity.h"

#include <atomic>
#include <memory>

namespace oriolerill::domain {

/// Limit on the bytes that the requests of a process hold together. Thread-safe.
class ByteBudget
{
public:
    /// A share of up to `alwaysGranted` bytes is granted even when the limit has been reached, so
    /// that large requests do not keep out small ones.
    ByteBudget(Bytes limit, Bytes alwaysGranted);

    Bytes limit() const { return m_limit; }
    /// Sum of all shares.
    Bytes held() const { return Bytes(m_held); }

private:
    friend class ByteShare;

    Bytes m_limit;
    Bytes m_alwaysGranted;
    std::atomic<std::uint64_t> m_held = 0;
};

/// What one request holds of a budget; returned when it is destroyed. Not thread-safe.
class ByteShare
{
public:
    explicit ByteShare(std::shared_ptr<ByteBudget> budget);
    ~ByteShare();
    ByteShare(const ByteShare &) = delete;
    ByteShare &operator=(const ByteShare &) = delete;

    /// Changes the share to this size. False, and unchanged, when that is too much beside all other
    /// shares.
    bool tryResize(Bytes size);
    /// Changes the share to this size also beyond the limit, for bytes that are held already.
    void resize(Bytes size);

private:
    std::shared_ptr<ByteBudget> m_budget;
    Bytes m_size;
};

} // namespace oriolerill::domain
